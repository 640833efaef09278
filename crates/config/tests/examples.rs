//! The committed example files are valid.

use std::fs;
use std::path::Path;

use config::Document;
use config::Settings;
use insta::assert_snapshot;

fn read(name: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples").join(name);
    fs::read_to_string(path).expect("the example is committed")
}

/// Returns the number of zones of a document, then the numbers of upstreams and slots of each service.
fn sizes(name: &str) -> String {
    let text = read(name);
    let document = Document::try_from(text.as_str()).expect("the example is valid");
    let mut sizes = vec![format!("{} zones", document.zones.len())];
    for service in &document.services {
        let slots: u16 = service.upstreams.iter().map(|upstream| upstream.slots.0).sum();
        sizes.push(format!(
            "{}: {} upstreams, {slots} slots",
            service.name,
            service.upstreams.len()
        ));
    }
    sizes.join("; ")
}

#[test]
fn example_documents_have_expected_sizes() {
    assert_snapshot!(sizes("verblijfnet.yaml"), @"3 zones; availability: 14 upstreams, 28 slots; photos: 4 upstreams, 8 slots");
    assert_snapshot!(sizes("coral-table.yaml"), @"4 zones; quotes: 14 upstreams, 42 slots; packs: 4 upstreams, 12 slots");
}

#[test]
fn example_settings_are_valid_and_debug_hides_secrets() {
    let text = read("settings.yaml");
    let settings = Settings::try_from(text.as_str()).expect("the example is valid");
    let debug = format!("{settings:?}");
    assert!(text.contains("replace-this"));
    assert!(!debug.contains("replace-this"), "{debug}");
}
