//! Rules of the house that the formatter and the linter can't check.
//!
//! This crate reads source files as text. It knows nothing of the other crates but where they stand.

use std::fmt;
use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

/// The most lines of a source file.
pub const MAX_LINES: usize = 400;

/// The crates on a request's path, where calls are never dispatched at run time.
const REQUEST_PATH: [&str; 7] = ["units", "wire", "token", "balance", "membership", "node", "jayquayd"];

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
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let text = match self {
            Self::OneImport => "one import a line",
            Self::Length => "a source file has at most 400 lines",
            Self::TestInSource => "tests live in test files",
            Self::Dynamic => "no dynamic dispatch on the request path",
            Self::Stub => "no stubs and no ignored tests",
        };
        f.write_str(text)
    }
}

/// Reads all Rust files of the crates below `root`.
pub fn read_sources(root: &Path) -> io::Result<Vec<Source>> {
    let mut sources = Vec::new();
    let mut folders = vec![root.join("crates")];
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

/// Whether this is the file that names the stubs in order to find them.
fn is_here(source: &Source) -> bool {
    source.path.starts_with("crates/tidy")
}
