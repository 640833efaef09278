//! The load of services and the openings that capacity decided about, in the text of `jayquay flows status`.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;

use flow::CapacityState;
use flow::Priority;
use jayquayd::forward::status::ServiceStatus;
use jayquayd::forward::status::Status;
use jayquayd::forward::status::ZoneStatus;
use units::ZoneName;

/// Adds the load of each service that an instance has a fresh view of, and the openings that were not placed in the
/// zone of their instance.
pub(super) fn write(text: &mut String, statuses: &[&Status]) {
    let services: BTreeSet<&String> = statuses.iter().flat_map(|status| status.capacity.keys()).collect();
    for service in services {
        write_service(text, service, statuses);
    }
    for ((result, cause, priority), count) in openings(statuses) {
        let _infallible = writeln!(
            text,
            "  openings {result}: {count} of priority {priority}, cause {cause}"
        );
    }
}

fn write_service(text: &mut String, service: &str, statuses: &[&Status]) {
    let views = statuses.iter().filter_map(|status| status.capacity.get(service));
    let views: Vec<&ServiceStatus> = views.collect();
    let demand: u64 = views.iter().map(|view| view.demand).sum();
    let _infallible = write!(text, "  service {service}: {demand} openings in the last second");
    for state in [CapacityState::Short, CapacityState::Spilling] {
        let count = views.iter().filter(|view| view.state == state).count();
        if count > 0 {
            let _infallible = write!(text, ", {state} at {count} of {} instances", views.len());
        }
    }
    text.push('\n');
    for (zone, load) in zones(service, statuses) {
        let ZoneStatus {
            slots,
            in_flight,
            service_time_us,
        } = load;
        let _infallible = write!(text, "    {zone}: {in_flight} in flight at {slots} slots");
        if let Some(micros) = service_time_us {
            let _infallible = write!(text, ", {:.1} ms each", micros as f64 / 1_000.0);
        }
        text.push('\n');
    }
}

/// The load of a service by zone. That of a zone is taken from an instance in it, if there is one: between zones, sums
/// are exchanged less often.
fn zones<'a>(service: &str, statuses: &[&'a Status]) -> BTreeMap<&'a ZoneName, ZoneStatus> {
    let mut zones = BTreeMap::new();
    for status in statuses {
        let Some(view) = status.capacity.get(service) else {
            continue;
        };
        for (zone, load) in &view.zones {
            if *zone == status.zone {
                zones.insert(zone, *load);
            } else {
                zones.entry(zone).or_insert(*load);
            }
        }
    }
    zones
}

/// The openings of all instances by result, cause and priority.
fn openings<'a>(statuses: &[&'a Status]) -> BTreeMap<(&'a str, &'a str, Priority), u64> {
    let mut openings = BTreeMap::new();
    for opening in statuses.iter().flat_map(|status| &status.openings) {
        let key = (opening.result.as_str(), opening.cause.as_str(), opening.priority);
        *openings.entry(key).or_default() += opening.count;
    }
    openings
}
