//! Rules of the house that the formatter and the linter can't check.
//!
//! This crate reads source files as text. It knows nothing of the other crates but where they stand.

mod circles;

use std::fmt;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

pub use crate::circles::circles;

/// The most lines of a source file.
pub const MAX_LINES: usize = 400;

/// The crates on a request's path, where calls are never dispatched at run time.
const REQUEST_PATH: [&str; 8] = [
    "units",
    "wire",
    "token",
    "balance",
    "membership",
    "node",
    "flow",
    "jayquayd",
];

/// The folder in which the users' platform is met.
const PLATFORM: &str = "platform";

/// Words of the users' platform, which no other folder knows: names on its wire, in its settings and of its tools. They
/// are written in two parts here, so that this file keeps the rule as well.
const PLATFORM_WORDS: [&str; 12] = [
    concat!("path_", "prefix"),
    concat!("slo_", "ms"),
    concat!("cold_", "left_ms"),
    concat!("packet_", "addr"),
    concat!("ready_", "addr"),
    concat!("stale_", "read"),
    concat!("skew_max_", "ms"),
    concat!("stable_", "window"),
    concat!("JAYQUAY_", "SETTINGS"),
    concat!("fleet", "bench"),
    concat!("has_", "more"),
    concat!("/api/", "objects"),
];

/// A source file of the workspace.
#[derive(Debug, Clone)]
pub struct Source {
    /// Where it stands, from the workspace's root.
    pub path: PathBuf,
    /// Its text.
    pub text: String,
}

impl Source {
    /// Whether this is a test, a bench or an example.
    pub fn is_test(&self) -> bool {
        self.path.components().any(|part| {
            let part = part.as_os_str();
            part == "tests" || part == "benches" || part == "examples"
        })
    }

    fn is_on_request_path(&self) -> bool {
        let mut parts = self.path.components().skip(1);
        let name = parts.next().map(|part| part.as_os_str().to_owned());
        name.is_some_and(|name| REQUEST_PATH.iter().any(|one| name == *one)) && !self.is_test()
    }
}

/// A rule that a source file breaks.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Breach {
    /// The file.
    pub path: PathBuf,
    /// The line, from one.
    pub line: usize,
    /// What is wrong.
    pub rule: Rule,
}

impl fmt::Display for Breach {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.path.display(), self.line, self.rule)
    }
}

/// The rules.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rule {
    /// An import brings in one item.
    OneImport,
    /// A source file is at most [`MAX_LINES`] long.
    Length,
    /// Tests live in test files.
    TestInSource,
    /// No dynamic dispatch on the request path.
    Dynamic,
    /// No stub is landed and no test is ignored.
    Stub,
    /// The users' platform is met in its own folder only.
    PlatformWord,
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::OneImport => "one import a line",
            Self::Length => "a source file has at most 400 lines",
            Self::TestInSource => "tests live in test files",
            Self::Dynamic => "no dynamic dispatch on the request path",
            Self::Stub => "no stubs and no ignored tests",
            Self::PlatformWord => "a word of the users' platform outside its folder",
        };
        f.write_str(text)
    }
}

/// Reads all Rust files below `root`: those of the crates, and of the folder for the users' platform.
pub fn read_sources(root: &Path) -> io::Result<Vec<Source>> {
    let mut sources = Vec::new();
    let mut folders = vec![root.join("crates"), root.join(PLATFORM)];
    while let Some(folder) = folders.pop() {
        for entry in fs::read_dir(folder)? {
            let path = entry?.path();
            if path.is_dir() {
                folders.push(path);
                continue;
            }
            if path.extension().is_none_or(|extension| extension != "rs") {
                continue;
            }
            let text = fs::read_to_string(&path)?;
            let path = path.strip_prefix(root).unwrap_or(&path).to_owned();
            sources.push(Source { path, text });
        }
    }
    sources.sort_by(|a, b| a.path.cmp(&b.path));
    Ok(sources)
}

/// Finds what breaks a rule in one file.
pub fn check(source: &Source) -> Vec<Breach> {
    let mut breaches = Vec::new();
    let mut report = |line, rule| {
        let path = source.path.clone();
        breaches.push(Breach { path, line, rule });
    };
    for (index, text) in source.text.lines().enumerate() {
        let line = index + 1;
        let text = text.trim_start();
        if text.starts_with("//") {
            continue;
        }
        let import = text.trim_start_matches("pub ").trim_start_matches("pub(crate) ");
        if import.starts_with("use ") && import.contains('{') {
            report(line, Rule::OneImport);
        }
        let attribute = text.starts_with("#[test]") || text.starts_with("#[cfg(test)]");
        if attribute && !source.is_test() {
            report(line, Rule::TestInSource);
        }
        if source.is_on_request_path() && (text.contains("dyn ") || text.contains("<dyn")) {
            report(line, Rule::Dynamic);
        }
        if !is_platform(source) && PLATFORM_WORDS.iter().any(|word| text.contains(word)) {
            report(line, Rule::PlatformWord);
        }
        if ["todo!(", "unimplemented!(", "#[ignore"]
            .iter()
            .any(|stub| text.contains(stub))
            && !is_here(source)
        {
            report(line, Rule::Stub);
        }
    }
    let lines = source.text.lines().count();
    if lines > MAX_LINES && !source.is_test() {
        report(lines, Rule::Length);
    }
    breaches
}

/// Whether a file may know the words of the users' platform.
fn is_platform(source: &Source) -> bool {
    source.path.starts_with(PLATFORM)
}

/// Whether this is the file that names the stubs in order to find them.
fn is_here(source: &Source) -> bool {
    source.path.starts_with("crates/tidy")
}
