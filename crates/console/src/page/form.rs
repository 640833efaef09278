//! Form inputs with their problems.

use config::FieldPath;
use maud::Markup;
use maud::html;

use crate::guard::TOKEN_FIELD;

use super::View;

/// The name of the form field that carries the draft's version.
pub const VERSION_FIELD: &str = "version";

/// The name of the buttons.
pub const BUTTON_FIELD: &str = "button";

/// Returns a form that posts to `path`, with the token and the version of the draft that it shows.
pub fn form(view: &View<'_>, path: &str, content: &Markup) -> Markup {
    html! {
        form method="post" action=(path) novalidate autocomplete="off" {
            input type="hidden" name=(TOKEN_FIELD) value=(view.token);
            input type="hidden" name=(VERSION_FIELD) value=(view.session.version);
            (content)
        }
    }
}

/// Returns a text input with a visible label.
pub fn labelled_text(view: &View<'_>, field: &FieldPath, label: &str, hint: &str, value: &str) -> Markup {
    html! {
        div.line {
            label for=(field) { (label) }
            (text(view, field, label, value))
            @if !hint.is_empty() { small { (hint) } }
        }
    }
}

/// Returns a text input that is labelled by its column heading.
pub fn text(view: &View<'_>, field: &FieldPath, label: &str, value: &str) -> Markup {
    let invalid = view.problems_at(field).next().is_some();
    html! {
        input type="text" id=(field) name=(field) value=(value) aria-label=(label) spellcheck="false"
            aria-invalid=[invalid.then_some("true")] aria-describedby=[invalid.then(|| problems_id(field))];
        (field_problems(view, field))
    }
}

/// Returns a selection with a visible label.
pub fn labelled_choice(view: &View<'_>, field: &FieldPath, label: &str, choices: &[Choice<'_>], value: &str) -> Markup {
    html! {
        div.line {
            label for=(field) { (label) }
            (choice(view, field, label, choices, value))
        }
    }
}

/// One option of a selection.
#[derive(Debug, Clone, Copy)]
pub struct Choice<'a> {
    /// The value in the document.
    pub value: &'a str,
    /// The text shown to the operator.
    pub text: &'a str,
}

/// Returns a selection that is labelled by its column heading. A value that is not among the choices is kept as an
/// additional option.
pub fn choice(view: &View<'_>, field: &FieldPath, label: &str, choices: &[Choice<'_>], value: &str) -> Markup {
    let invalid = view.problems_at(field).next().is_some();
    let known = choices.iter().any(|choice| choice.value == value);
    html! {
        select id=(field) name=(field) aria-label=(label)
            aria-invalid=[invalid.then_some("true")] aria-describedby=[invalid.then(|| problems_id(field))] {
            @if !known { option value=(value) selected { (value) } }
            @for choice in choices {
                option value=(choice.value) selected[choice.value == value] { (choice.text) }
            }
        }
        (field_problems(view, field))
    }
}

/// Returns the list of problems of a field.
pub fn field_problems(view: &View<'_>, field: &FieldPath) -> Markup {
    let problems: Vec<_> = view.problems_at(field).collect();
    html! {
        @if !problems.is_empty() {
            ul.faults id=(problems_id(field)) {
                @for problem in problems { li { (problem.kind) } }
            }
        }
    }
}

/// Returns the save button. It comes first in its form, so that the enter key activates it.
pub fn save() -> Markup {
    html! { button.main name=(BUTTON_FIELD) value="save" { "Save draft" } }
}

/// Returns a button that adds an item to a list.
pub fn add(list: &FieldPath, text: &str) -> Markup {
    html! { button name=(BUTTON_FIELD) value={ "add " (list) } { (text) } }
}

/// Returns a button that removes an item from a list.
pub fn remove(item: &FieldPath, name: &str) -> Markup {
    html! {
        button.remove name=(BUTTON_FIELD) value={ "remove " (item) } aria-label={ "Remove " (name) } { "Remove" }
    }
}

fn problems_id(field: &FieldPath) -> String {
    format!("{field}.faults")
}
