//! Metric names, compared with the documentation, and their rendering by a recorder.

use std::collections::BTreeSet;

use jayquayd::forward;
use jayquayd::metric;
use metrics_exporter_prometheus::PrometheusBuilder;

const PAGE: &str = include_str!("../../../docs/METRICS.md");

#[test]
fn the_page_names_every_metric_once_and_no_other() {
    let rows = PAGE.lines().filter_map(|line| line.strip_prefix("| `"));
    let documented: Vec<&str> = rows.filter_map(|row| row.split('`').next()).collect();
    let unique: BTreeSet<&str> = documented.iter().copied().collect();
    let parts = [metric::NAMES, forward::metric::NAMES, &adapter::metric::NAMES];
    let known: BTreeSet<&str> = parts.into_iter().flatten().copied().collect();
    assert_eq!(unique, known);
    assert_eq!(documented.len(), unique.len());
}

#[test]
fn a_label_and_a_description_are_rendered() {
    let recorder = PrometheusBuilder::new().build_recorder();
    metrics::with_local_recorder(&recorder, || {
        metric::describe();
        metric::sessions_failed("stranger").increment(2);
    });
    let text = recorder.handle().render();
    assert!(
        text.contains("# HELP jayquay_sessions_failed_total Handshakes that failed"),
        "{text}"
    );
    assert!(
        text.contains("jayquay_sessions_failed_total{cause=\"stranger\"} 2"),
        "{text}"
    );
}
