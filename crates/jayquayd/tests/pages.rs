//! The operators' documentation, compared with the example settings and the defaults.

const PAGE: &str = include_str!("../../../docs/OPERATING.md");
const EXAMPLE: &str = include_str!("../../../examples/settings.yaml");

#[test]
fn the_page_explains_every_field_of_the_example() {
    let mut section = String::new();
    let mut seen = 0;
    for line in EXAMPLE.lines() {
        let line = line.split('#').next().unwrap_or_default();
        let Some((key, rest)) = line.split_once(':') else {
            continue;
        };
        let is_nested = key.starts_with("  ");
        let name = key.trim();
        if name.starts_with('-') {
            continue;
        }
        if !is_nested {
            section = name.to_owned();
        }
        if !is_nested && rest.trim().is_empty() && name != "peers" {
            continue;
        }
        let field = if is_nested {
            format!("`{section}.{name}`")
        } else {
            format!("`{name}`")
        };
        assert!(PAGE.contains(&field), "{field} is not documented");
        seen += 1;
    }
    assert!(seen >= 18, "only {seen} fields were found in the example");
}

#[test]
fn the_page_tells_the_defaults() {
    let limits = config::Limits::default();
    let rows = [
        format!("| `limits.flows` | {} |", limits.flows),
        format!("| `limits.requests` | {} |", limits.requests),
        format!("| `limits.answer-bytes` | {} |", limits.answer_bytes),
        format!("| `limits.sessions` | {} |", limits.sessions),
        format!(
            "| `limits.packets-per-second-per-caller` | {} |",
            limits.packets_per_second
        ),
        format!(
            "| `limits.packets-per-second-in-all` | {} |",
            limits.total_packets_per_second
        ),
    ];
    for row in rows {
        assert!(PAGE.contains(&row), "{row}");
    }
}
