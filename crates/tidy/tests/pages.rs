//! The pages can be found from the first one, and each says which of its commands were run.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// What begins the line that tells which of a page's commands were run.
const RUN: &str = "*Commands on this page.* ";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// The names of all pages.
fn pages() -> Vec<String> {
    let folder = fs::read_dir(root().join("docs")).unwrap();
    let paths = folder.map(|entry| entry.unwrap().path());
    let pages = paths.filter(|path| path.extension().is_some_and(|extension| extension == "md"));
    let names = pages.map(|path| path.file_name().unwrap().to_owned());
    names.map(|name| name.into_string().unwrap()).collect()
}

fn text(path: &str) -> String {
    fs::read_to_string(root().join(path)).unwrap()
}

#[test]
fn the_first_page_links_every_page_and_none_that_is_missing() {
    let first = text("README.md");
    let pages = pages();
    assert!(pages.len() > 5, "the pages were found");
    for name in &pages {
        let link = format!("\n| [`docs/{name}`](docs/{name}) | ");
        assert!(first.contains(&link), "README.md does not link docs/{name}");
    }
    for link in first.split("](").skip(1) {
        let (target, _) = link.split_once(')').unwrap();
        assert!(
            root().join(target).exists(),
            "README.md links {target}, which is not there"
        );
    }
}

#[test]
fn each_page_says_which_of_its_commands_were_run() {
    let mut paths = vec!["README.md".to_owned()];
    paths.extend(pages().iter().map(|name| format!("docs/{name}")));
    for path in paths {
        let count = text(&path).lines().filter(|line| line.starts_with(RUN)).count();
        assert_eq!(count, 1, "{path}");
    }
}
