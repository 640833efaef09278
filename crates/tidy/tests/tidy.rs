//! The workspace keeps the rules, and the rules can be broken.

use std::path::Path;
use std::path::PathBuf;

use tidy::Rule;
use tidy::Source;
use tidy::check;
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
