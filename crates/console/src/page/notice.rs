//! The page that tells what came of something.

use maud::Markup;
use maud::html;

use super::OVERVIEW;
use super::layout;

/// Tells something, a paragraph for each line, with `more` below it.
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
