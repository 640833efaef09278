//! The page of the availability zones.

use maud::Markup;
use maud::html;

use crate::draft;

use super::View;
use super::ZONES;
use super::form;
use super::layout;

/// Returns the page of the availability zones.
pub fn zones(view: &View<'_>) -> Markup {
    let list = draft::zones_field();
    let content = html! {
        p { "Requests do not leave their region. An upstream names one of these zones." }
        (form::save())
        table {
            thead { tr { th { "Name" } th { "Region" } th { "" } } }
            tbody {
                @for (index, zone) in view.session.draft.zones.iter().enumerate() {
                    @let item = list.item(index);
                    tr id=(item) {
                        td { (form::text(view, &item.member("name"), "Name", &zone.name)) }
                        td { (form::text(view, &item.member("region"), "Region", &zone.region)) }
                        td { (form::remove(&item, &zone.name)) }
                    }
                }
            }
        }
        (form::field_problems(view, &list))
        (form::add(&list, "Add zone"))
    };
    let content = html! {
        (layout::problems(view))
        (form::form(view, ZONES, &content))
    };
    layout::page(view, ZONES, "Zones", &content)
}
