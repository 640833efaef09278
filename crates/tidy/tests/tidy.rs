//! The workspace keeps the rules, and the rules can be broken.

use std::path::Path;
use std::path::PathBuf;

use tidy::Rule;
use tidy::Source;
use tidy::check;
use tidy::circles;
use tidy::read_sources;

#[test]
fn the_workspace_is_tidy() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let root = root.canonicalize().unwrap();
    let sources = read_sources(&root).unwrap();
    assert!(sources.len() > 50, "the crates were found");
    let breaches: Vec<String> = sources
        .iter()
        .flat_map(check)
        .map(|breach| breach.to_string())
        .collect();
    assert!(breaches.is_empty(), "{}", breaches.join("\n"));
}

/// Crates without files that need one another in a circle. The others have some left; none of these may get any.
const WITHOUT_CIRCLES: [&str; 11] = [
    "crates/apply",
    "crates/balance",
    "crates/caller",
    "crates/flow",
    "crates/jayquay",
    "crates/jayquayd",
    "crates/platform",
    "crates/soak",
    "crates/wire",
    "platform",
    "platform/standin",
];

#[test]
fn files_do_not_need_one_another_in_a_circle() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let sources = read_sources(&root.canonicalize().unwrap()).unwrap();
    for name in WITHOUT_CIRCLES {
        let found = circles(&sources, Path::new(name));
        assert!(found.is_empty(), "{name}: {found:?}");
    }
}

#[test]
fn a_circle_is_found_through_other_files_and_a_line_of_files_is_none() {
    let source = |path: &str, text: &str| Source {
        path: PathBuf::from(path),
        text: text.to_owned(),
    };
    let sources = [
        source("crates/a/src/one.rs", "use crate::two::Two;\nuse self::part::Part;\n"),
        source("crates/a/src/two.rs", "pub use crate::three::Three;\n"),
        source("crates/a/src/three.rs", "use crate::one::One;\n"),
        source("crates/a/src/one/part.rs", "use std::fmt;\n"),
        source("crates/a/src/four.rs", "use super::two;\n"),
        source("crates/b/src/one.rs", "use crate::two::Two;\n"),
    ];
    let found = circles(&sources, Path::new("crates/a"));
    assert_eq!(found.into_iter().collect::<Vec<_>>(), ["one", "three", "two"]);
    assert!(circles(&sources, Path::new("crates/b")).is_empty());
}

#[test]
fn each_rule_can_be_broken() {
    let long = "fn f() {}\n".repeat(401);
    let cases = [
        ("crates/node/src/a.rs", "use std::{fmt, io};\n", Rule::OneImport),
        ("crates/node/src/a.rs", "pub use a::{b};\n", Rule::OneImport),
        ("crates/node/src/a.rs", "#[cfg(test)]\n", Rule::TestInSource),
        ("crates/node/src/a.rs", "    #[test]\n", Rule::TestInSource),
        ("crates/node/src/a.rs", "fn f(a: &dyn Fn()) {}\n", Rule::Dynamic),
        ("crates/caller/src/a.rs", "    todo!()\n", Rule::Stub),
        ("crates/caller/tests/a.rs", "#[ignore]\n", Rule::Stub),
        ("crates/caller/src/a.rs", long.as_str(), Rule::Length),
        ("crates/flow/src/a.rs", "fn f(a: &dyn Fn()) {}\n", Rule::Dynamic),
        (
            "crates/jayquayd/tests/a.rs",
            concat!("ready_", "addr\n"),
            Rule::PlatformWord,
        ),
        ("platform/src/a.rs", "#[test]\n", Rule::TestInSource),
    ];
    for (path, text, rule) in cases {
        let source = Source {
            path: PathBuf::from(path),
            text: text.to_owned(),
        };
        let rules: Vec<Rule> = check(&source).into_iter().map(|breach| breach.rule).collect();
        assert_eq!(rules, [rule], "{path}: {text:.40}");
    }
    let harmless = [
        ("crates/caller/src/a.rs", "fn f(a: &dyn Fn()) {}\n"),
        ("crates/node/tests/a.rs", "#[test]\n"),
        ("platform/src/a.rs", concat!("ready_", "addr\n")),
    ];
    for (path, text) in harmless {
        let source = Source {
            path: PathBuf::from(path),
            text: text.to_owned(),
        };
        assert_eq!(check(&source), [], "{path}");
    }
}
