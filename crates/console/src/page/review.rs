//! The review page: it shows the differences, asks for the change record and applies the draft.

use config::Difference;
use maud::Markup;
use maud::html;

use crate::draft;

use super::APPLY;
use super::KEEP_DRAFT;
use super::RESTART;
use super::REVIEW;
use super::View;
use super::form;
use super::form::BUTTON_FIELD;
use super::layout;

/// Returns the review page.
pub fn review(view: &View<'_>) -> Markup {
    let from = view.session.base_revision();
    let to = from.next();
    let content = html! {
        h2 { "What changes from revision " (from) " to revision " (to) }
        @match &view.check.differences {
            Some(differences) => (difference_list(differences))
            None => p { "The draft has problems, so it cannot be compared or applied yet." }
        }
        (layout::problems(view))
        (change(view))
        h2 { "The document" }
        p { "The console writes the document anew, so comments of an earlier text are not kept." }
        pre tabindex="0" { (view.check.text) }
    };
    layout::page(view, REVIEW, "Review and apply", &content)
}

/// Lists differences.
pub fn difference_list(differences: &[Difference]) -> Markup {
    html! {
        @if differences.is_empty() {
            p { "Nothing differs." }
        } @else {
            ul.differences { @for difference in differences { li { (difference) } } }
        }
    }
}

/// Returns the options after a refusal. The draft is kept until the operator discards it.
pub fn recovery_options(view: &View<'_>) -> Markup {
    let content = html! {
        p { a href=(REVIEW) { "Back to the draft, to apply it again" } }
        button name=(BUTTON_FIELD) value=(KEEP_DRAFT) { "Keep the draft, and review it against the platform's document" }
        " "
        button name=(BUTTON_FIELD) value="drop" { "Drop the draft, and start from the platform's document" }
    };
    form::form(view, RESTART, &content)
}

fn change(view: &View<'_>) -> Markup {
    let at = draft::change_field();
    let change = &view.session.draft.change;
    let changes = view
        .check
        .differences
        .as_ref()
        .is_some_and(|differences| !differences.is_empty());
    let content = html! {
        fieldset id=(at) {
            legend { "Who changes it, and why" }
            (form::labelled_text(view, &at.member("author"), "Author", "", &change.author))
            (form::labelled_text(view, &at.member("approver"), "Approver", "somebody else", &change.approver))
            (form::labelled_text(view, &at.member("reason"), "Reason", "", &change.reason))
        }
        (form::save())
        @if changes {
            button.apply formaction=(APPLY) name=(BUTTON_FIELD) value="apply" {
                "Apply as revision " (view.session.base_revision().next())
            }
        }
    };
    form::form(view, REVIEW, &content)
}
