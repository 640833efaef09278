//! Inputs, and the problems that stand at them.

use config::FieldPath;
use maud::Markup;
use maud::html;

use crate::guard::TOKEN_FIELD;

use super::View;

/// The name of the form field that carries the draft's version.
pub const VERSION_FIELD: &str = "version";

/// The name of the buttons.
pub const BUTTON_FIELD: &str = "button";

/// A form that posts to `path`. It carries the token and the version of the draft that it shows.
pub fn form(view: &View<'_>, path: &str, content: &Markup) -> Markup {
    html! {
        form method="post" action=(path) novalidate autocomplete="off" {
            input type="hidden" name=(TOKEN_FIELD) value=(view.token);
            input type="hidden" name=(VERSION_FIELD) value=(view.session.version);
            (content)
        }
    }
}

/// A line of text with a visible label.
pub fn labelled_text(view: &View<'_>, field: &FieldPath, label: &str, hint: &str, value: &str) -> Markup {
    html! {
        div.line {
            label for=(field) { (label) }
            (text(view, field, label, value))
            @if !hint.is_empty() { small { (hint) } }
        }
    }
}

/// A line of text whose label is the heading of its column.
pub fn text(view: &View<'_>, field: &FieldPath, label: &str, value: &str) -> Markup {
    let invalid = view.problems_at(field).next().is_some();
    html! {
        input type="text" id=(field) name=(field) value=(value) aria-label=(label) spellcheck="false"
            aria-invalid=[invalid.then_some("true")] aria-describedby=[invalid.then(|| problems_id(field))];
        (field_problems(view, field))
    }
}

/// A choice with a visible label.
pub fn labelled_choice(view: &View<'_>, field: &FieldPath, label: &str, choices: &[Choice<'_>], value: &str) -> Markup {
    html! {
        div.line {
            label for=(field) { (label) }
            (choice(view, field, label, choices, value))
        }
    }
}

/// One of the values of a choice.
#[derive(Debug, Clone, Copy)]
pub struct Choice<'a> {
    /// The value in the document.
    pub value: &'a str,
    /// What the operator reads.
    pub text: &'a str,
}

/// A choice whose label is the heading of its column. A value that is none of the choices stays, as a further one.
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

/// The problems that stand at a field.
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

/// The button that keeps what was typed. It comes first in its form, so that the enter key presses it.
pub fn save() -> Markup {
    html! { button.main name=(BUTTON_FIELD) value="save" { "Save draft" } }
}

/// A button that adds an item to a list.
pub fn add(list: &FieldPath, text: &str) -> Markup {
    html! { button name=(BUTTON_FIELD) value={ "add " (list) } { (text) } }
}

/// A button that removes an item from a list.
pub fn remove(item: &FieldPath, name: &str) -> Markup {
    html! {
        button.remove name=(BUTTON_FIELD) value={ "remove " (item) } aria-label={ "Remove " (name) } { "Remove" }
    }
}

fn problems_id(field: &FieldPath) -> String {
    format!("{field}.faults")
}
