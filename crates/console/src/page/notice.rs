//! The page that shows the outcome of a request.

use maud::Markup;
use maud::html;

use super::OVERVIEW;
use super::layout;

/// Returns a page with one paragraph for each line of `text`, and `more` below them.
pub fn notice(title: &str, text: &str, more: &Markup) -> Markup {
    let content = html! {
        main {
            h1 { (title) }
            div role="alert" { @for line in text.lines() { p { (line) } } }
            (more)
            p { a href=(OVERVIEW) { "Overview" } }
        }
    };
    layout::bare_page(title, &content)
}
