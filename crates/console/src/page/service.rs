//! The page of one service: its addresses, traffic sharing, request kinds and upstreams.

use config::FieldPath;
use maud::Markup;
use maud::html;

use crate::draft;
use crate::draft::Kind;
use crate::draft::Service;
use crate::draft::Sharing;
use crate::draft::Upstream;

use super::View;
use super::form;
use super::form::Choice;
use super::layout;
use super::service_path;

const AFFINITIES: [Choice<'static>; 2] = [
    Choice {
        value: "request",
        text: "Each request may go to another upstream",
    },
    Choice {
        value: "flow",
        text: "A flow keeps its upstream",
    },
];

const BOOLEANS: [Choice<'static>; 2] = [
    Choice {
        value: "true",
        text: "Yes",
    },
    Choice {
        value: "false",
        text: "No",
    },
];

const UPSTREAM_STATES: [Choice<'static>; 2] = [
    Choice {
        value: "active",
        text: "Active",
    },
    Choice {
        value: "draining",
        text: "Draining",
    },
];

/// Returns the page of one service.
pub fn service(view: &View<'_>, index: usize, service: &Service) -> Markup {
    let at = draft::service_field(index);
    let path = service_path(index);
    let title = format!("Service {}", layout::service_label(&service.name));
    let content = html! {
        (form::save())
        (form::field_problems(view, &at))
        (form::labelled_text(view, &at.member("name"), "Name", "", &service.name))
        (addresses(view, &at.member("addresses"), &service.addresses))
        (sharing(view, &at.member("sharing"), &service.sharing))
        (kinds(view, &at.member("kinds"), &service.kinds))
        (upstreams(view, &at.member("upstreams"), &service.upstreams))
    };
    let content = html! {
        (layout::problems(view))
        (form::form(view, &path, &content))
    };
    layout::page(view, &path, &title, &content)
}

fn addresses(view: &View<'_>, list: &FieldPath, addresses: &[String]) -> Markup {
    html! {
        fieldset id=(list) {
            legend { "Addresses that callers connect to" }
            table {
                tbody {
                    @for (index, address) in addresses.iter().enumerate() {
                        @let item = list.item(index);
                        tr {
                            td { (form::text(view, &item, "Address", address)) }
                            td { (form::remove(&item, address)) }
                        }
                    }
                }
            }
            (form::field_problems(view, list))
            (form::add(list, "Add address"))
        }
    }
}

fn sharing(view: &View<'_>, at: &FieldPath, sharing: &Sharing) -> Markup {
    let field = |name| at.member(name);
    let affinity = field("affinity");
    let local = field("prefer-local-zone");
    let queue = field("queue-limit");
    let retries = field("retry-budget-percent");
    let slow_start = field("slow-start-ms");
    html! {
        fieldset id=(at) {
            legend { "Sharing" }
            (form::labelled_choice(view, &affinity, "Affinity", &AFFINITIES, &sharing.affinity))
            (form::labelled_choice(view, &local, "Prefer the local zone", &BOOLEANS, &sharing.prefer_local_zone))
            (form::labelled_text(view, &queue, "Queue limit", "maximum waiting requests", &sharing.queue_limit))
            (form::labelled_text(view, &retries, "Retry budget", "percent of successes", &sharing.retry_budget_percent))
            (form::labelled_text(view, &slow_start, "Slow start", "milliseconds", &sharing.slow_start_ms))
        }
    }
}

fn kinds(view: &View<'_>, list: &FieldPath, kinds: &[Kind]) -> Markup {
    html! {
        fieldset id=(list) {
            legend { "Kinds of request" }
            table {
                thead { tr { th { "Name" } th { "Weight" } th { "Idempotent" } th { "" } } }
                tbody {
                    @for (index, kind) in kinds.iter().enumerate() {
                        @let item = list.item(index);
                        tr id=(item) {
                            td { (form::text(view, &item.member("name"), "Name", &kind.name)) }
                            td { (form::text(view, &item.member("weight"), "Weight", &kind.weight)) }
                            td { (form::choice(view, &item.member("idempotent"), "Idempotent", &BOOLEANS, &kind.idempotent)) }
                            td { (form::remove(&item, &kind.name)) }
                        }
                    }
                }
            }
            (form::field_problems(view, list))
            (form::add(list, "Add kind"))
        }
    }
}

fn upstreams(view: &View<'_>, list: &FieldPath, upstreams: &[Upstream]) -> Markup {
    let zones = zone_choices(view);
    html! {
        fieldset id=(list) {
            legend { "Upstreams" }
            table {
                thead { tr { th { "Name" } th { "Zone" } th { "Address" } th { "Slots" } th { "State" } th { "" } } }
                tbody {
                    @for (index, upstream) in upstreams.iter().enumerate() {
                        (upstream_row(view, &list.item(index), upstream, &zones))
                    }
                }
            }
            (form::field_problems(view, list))
            (form::add(list, "Add upstream"))
        }
    }
}

fn upstream_row(view: &View<'_>, item: &FieldPath, upstream: &Upstream, zones: &[Choice<'_>]) -> Markup {
    html! {
        tr id=(item) {
            td { (form::text(view, &item.member("name"), "Name", &upstream.name)) }
            td { (form::choice(view, &item.member("zone"), "Zone", zones, &upstream.zone)) }
            td { (form::text(view, &item.member("address"), "Address", &upstream.address)) }
            td { (form::text(view, &item.member("slots"), "Slots", &upstream.slots)) }
            td { (form::choice(view, &item.member("state"), "State", &UPSTREAM_STATES, &upstream.state)) }
            td { (form::remove(item, &upstream.name)) }
        }
    }
}

fn zone_choices<'a>(view: &View<'a>) -> Vec<Choice<'a>> {
    let session = view.session;
    let choice = |name: &'a String| Choice {
        value: name,
        text: name,
    };
    session.draft.zones.iter().map(|zone| choice(&zone.name)).collect()
}
