//! HTTP responses.

use apply::Refusal;
use axum::http::StatusCode;
use axum::http::header::CONTENT_TYPE;
use axum::http::header::SET_COOKIE;
use axum::response::Html;
use axum::response::IntoResponse;
use axum::response::Redirect;
use axum::response::Response;
use config::Difference;
use config::Document;
use maud::Markup;
use maud::html;

use crate::guard::AccessError;
use crate::page;
use crate::page::View;
use crate::session::LoadError;

const STYLE: &str = include_str!("../style.css");

/// Returns a page.
pub fn page(markup: &Markup) -> Response {
    Html(markup.0.clone()).into_response()
}

/// Returns the text of a document.
pub fn text(text: String) -> Response {
    ([(CONTENT_TYPE, "text/plain; charset=utf-8")], text).into_response()
}

/// Returns the style sheet.
pub async fn style() -> Response {
    ([(CONTENT_TYPE, "text/css; charset=utf-8")], STYLE).into_response()
}

/// Redirects after a form, so that reloading the page does not post it again.
pub fn redirect(path: &str) -> Response {
    Redirect::to(path).into_response()
}

/// Sets the access cookie and redirects to the overview.
pub fn entered(cookie: &str) -> Response {
    ([(SET_COOKIE, cookie)], Redirect::to(page::OVERVIEW)).into_response()
}

/// Rejects a request that failed an access check.
pub fn forbidden(error: AccessError) -> Response {
    notice(StatusCode::FORBIDDEN, "Refused", &error.to_string(), &html! {})
}

/// Reports that the page does not exist.
pub async fn not_found() -> Response {
    notice(
        StatusCode::NOT_FOUND,
        "No such page",
        "There is no such page, or no such service any more.",
        &html! {},
    )
}

/// Rejects a form that shows an older draft.
pub fn stale_form() -> Response {
    let text = "The draft was changed in another window after this form was shown.\n\
                Nothing of the form was taken. Go back to read what you typed, and reload the page to see the draft.";
    notice(StatusCode::CONFLICT, "The form is out of date", text, &html! {})
}

/// Reports that the platform's document could not be loaded.
pub fn load_failed(error: &LoadError) -> Response {
    let text = format!("{error}\nThe draft is kept.");
    notice(
        StatusCode::BAD_GATEWAY,
        "The document could not be loaded",
        &text,
        &html! {},
    )
}

/// Reports that the draft was applied.
pub fn applied(document: &Document, differences: &[Difference], read_back: bool) -> Response {
    let revision = document.revision;
    let outcome = if read_back {
        "came into force at the platform, as was read back after the answer was lost."
    } else {
        "is in force at the platform."
    };
    let more = html! {
        p { "Digest " code { (document.digest) } }
        (page::difference_list(differences))
    };
    notice(
        StatusCode::OK,
        "Applied",
        &format!("Revision {revision} {outcome}"),
        &more,
    )
}

/// Reports that the draft was not applied, or that the outcome is unknown.
pub fn apply_refused(view: &View<'_>, refusal: &Refusal) -> Response {
    let status = match refusal {
        Refusal::WrongRevision { .. } | Refusal::UnknownRevision { .. } | Refusal::Conflict(_) => StatusCode::CONFLICT,
        Refusal::Platform(_) | Refusal::InDoubt { .. } => StatusCode::BAD_GATEWAY,
    };
    let title = match refusal {
        Refusal::InDoubt { .. } => "Not known whether it was applied",
        _ => "Not applied",
    };
    notice(status, title, &refusal.to_string(), &page::recovery_options(view))
}

fn notice(status: StatusCode, title: &str, text: &str, more: &Markup) -> Response {
    (status, page(&page::notice(title, text, more))).into_response()
}
