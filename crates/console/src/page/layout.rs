//! The layout shared by all pages.

use maud::DOCTYPE;
use maud::Markup;
use maud::html;

use super::OVERVIEW;
use super::REVIEW;
use super::STYLE;
use super::View;
use super::ZONES;
use super::problem_link;
use super::service_path;

/// Returns a page with the navigation and the status of the draft.
pub fn page(view: &View<'_>, current: &str, title: &str, content: &Markup) -> Markup {
    let services = view.session.draft.services.iter().enumerate();
    bare_page(
        title,
        &html! {
            header {
                nav aria-label="Pages" {
                    (link(OVERVIEW, "Overview", current))
                    (link(ZONES, "Zones", current))
                    @for (index, service) in services {
                        (link(&service_path(index), service_label(&service.name), current))
                    }
                    (link(REVIEW, "Review and apply", current))
                }
                p role="status" { (draft_status(view)) }
            }
            main {
                h1 { (title) }
                (content)
            }
        },
    )
}

/// Returns a page without navigation.
pub fn bare_page(title: &str, body: &Markup) -> Markup {
    html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                meta name="viewport" content="width=device-width, initial-scale=1";
                title { (title) " · jayquay console" }
                link rel="stylesheet" href=(STYLE);
            }
            body { (body) }
        }
    }
}

/// Returns the name of a service, or a placeholder if it is empty.
pub fn service_label(name: &str) -> &str {
    if name.is_empty() { "(no name)" } else { name }
}

/// Lists the problems, with links to the inputs where they can be fixed.
pub fn problems(view: &View<'_>) -> Markup {
    let services = view.session.draft.services.len();
    let problems: Vec<_> = view.problems().collect();
    html! {
        @if !problems.is_empty() {
            h2 { "Problems" }
            ul.faults {
                @for problem in problems {
                    li { a href=(problem_link(problem, services)) { (problem.field) } ": " (problem.kind) }
                }
            }
        }
    }
}

fn link(path: &str, text: &str, current: &str) -> Markup {
    html! {
        a href=(path) aria-current=[(path == current).then_some("page")] { (text) }
    }
}

fn draft_status(view: &View<'_>) -> Markup {
    let from = view.session.base_revision();
    let problems = view.problems().count();
    let differences = view.check.differences.as_ref().map(Vec::len);
    html! {
        @match differences {
            None => { strong { (pluralise(problems, "problem")) } " in the draft made from revision " (from) "." }
            Some(0) => { "The draft is the same as revision " (from) "." }
            Some(count) => { (pluralise(count, "difference")) " from revision " (from) "." }
        }
    }
}

fn pluralise(count: usize, noun: &str) -> String {
    let plural = if count == 1 { "" } else { "s" };
    format!("{count} {noun}{plural}")
}
