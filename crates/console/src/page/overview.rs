//! The overview page: the reviewed document and the services of the draft.

use config::Document;
use maud::Markup;
use maud::html;

use crate::draft;
use crate::draft::Service;

use super::OVERVIEW;
use super::RESTART;
use super::TEXT;
use super::View;
use super::form;
use super::form::BUTTON_FIELD;
use super::layout;
use super::service_path;

/// Returns the overview page.
pub fn overview(view: &View<'_>) -> Markup {
    let list = draft::services_field();
    let services = &view.session.draft.services;
    let table = html! {
        table {
            thead { tr { th { "Service" } th { "Addresses" } th { "Kinds" } th { "Upstreams" } th { "Problems" } th { "" } } }
            tbody {
                @for (index, service) in services.iter().enumerate() {
                    (service_row(view, index, service))
                }
            }
        }
        (form::field_problems(view, &list))
        (form::add(&list, "Add service"))
    };
    let restart = html! {
        button name=(BUTTON_FIELD) value="drop" { "Drop the draft, and load the platform's document" }
    };
    let content = html! {
        (base_summary(view.session.base.as_ref()))
        h2 { "Draft" }
        (form::form(view, OVERVIEW, &table))
        (layout::problems(view))
        p { a href=(TEXT) { "Show the draft as the text of a document" } }
        (form::form(view, RESTART, &restart))
    };
    layout::page(view, OVERVIEW, "Configuration", &content)
}

fn base_summary(base: Option<&Document>) -> Markup {
    html! {
        @match base {
            None => p { "The platform holds no document yet." }
            Some(base) => {
                dl {
                    dt { "Reviewed revision" } dd { (base.revision) }
                    dt { "Digest" } dd { code { (base.digest) } }
                    dt { "Author" } dd { (base.change.author) }
                    dt { "Approver" } dd { (base.change.approver) }
                    dt { "Reason" } dd { (base.change.reason) }
                }
            }
        }
    }
}

fn service_row(view: &View<'_>, index: usize, service: &Service) -> Markup {
    let item = draft::service_field(index);
    let name = layout::service_label(&service.name);
    html! {
        tr {
            th scope="row" { a href=(service_path(index)) { (name) } }
            td { (service.addresses.join(", ")) }
            td { (service.kinds.len()) }
            td { (service.upstreams.len()) }
            td { (view.count_problems_within(&item)) }
            td { (form::remove(&item, name)) }
        }
    }
}
