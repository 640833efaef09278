//! The HTTP routes of the console and their handlers.

mod access;
mod response;

use std::sync::Arc;

use apply::Refusal;
use apply::RetryPolicy;
use axum::Router;
use axum::extract::DefaultBodyLimit;
use axum::extract::Path;
use axum::extract::State;
use axum::http::StatusCode;
use axum::middleware;
use axum::response::IntoResponse;
use axum::response::Response;
use axum::routing::get;
use axum::routing::post;
use platform::Client;
use tokio::sync::Mutex;

use crate::guard::Guard;
use crate::input;
use crate::page;
use crate::page::BUTTON_FIELD;
use crate::page::VERSION_FIELD;
use crate::page::View;
use crate::routes::access::VerifiedForm;
use crate::session;
use crate::session::Button;
use crate::session::Session;

/// The maximum size of a form in bytes. The form of a service with the maximum number of upstreams is smaller.
const MAX_FORM_LEN: usize = 4_000_000;

/// The state shared by the handlers.
#[derive(Debug)]
pub struct Console {
    client: Client,
    guard: Guard,
    session: Mutex<Session>,
}

impl Console {
    /// Creates the state of a console for `session`.
    pub fn new(client: Client, guard: Guard, session: Session) -> Self {
        Self {
            client,
            guard,
            session: Mutex::new(session),
        }
    }

    fn view<'a>(&'a self, session: &'a Session) -> View<'a> {
        View {
            session,
            check: session.check(),
            token: self.guard.token(),
        }
    }
}

type ConsoleState = State<Arc<Console>>;

/// Returns the routes of a console.
pub fn routes(console: Arc<Console>) -> Router {
    Router::new()
        .route(page::OVERVIEW, get(overview).post(edit_services))
        .route(page::ZONES, get(zones).post(edit_zones))
        .route("/services/{index}", get(service).post(edit_service))
        .route(page::REVIEW, get(review).post(edit_change))
        .route(page::APPLY, post(apply_draft))
        .route(page::RESTART, post(restart))
        .route(page::TEXT, get(text))
        .layer(middleware::from_fn_with_state(
            Arc::clone(&console),
            access::require_cookie,
        ))
        .route(page::STYLE, get(response::style))
        .route("/enter", get(access::enter))
        .fallback(response::not_found)
        .layer(middleware::from_fn_with_state(
            Arc::clone(&console),
            access::require_same_site,
        ))
        .layer(DefaultBodyLimit::max(MAX_FORM_LEN))
        .with_state(console)
}

async fn overview(State(console): ConsoleState) -> Response {
    let session = console.session.lock().await;
    response::page(&page::overview(&console.view(&session)))
}

async fn zones(State(console): ConsoleState) -> Response {
    let session = console.session.lock().await;
    response::page(&page::zones(&console.view(&session)))
}

async fn review(State(console): ConsoleState) -> Response {
    let session = console.session.lock().await;
    response::page(&page::review(&console.view(&session)))
}

async fn service(State(console): ConsoleState, Path(index): Path<usize>) -> Response {
    let session = console.session.lock().await;
    let Some(service) = session.draft.services.get(index) else {
        return response::not_found().await.into_response();
    };
    response::page(&page::service(&console.view(&session), index, service))
}

async fn text(State(console): ConsoleState) -> Response {
    let session = console.session.lock().await;
    response::text(session.check().text)
}

/// Edits the list of services, and redirects to the page of a service that was added.
async fn edit_services(State(console): ConsoleState, form: VerifiedForm) -> Response {
    let mut session = console.session.lock().await;
    let before = session.draft.services.len();
    if let Err(StaleForm) = edit(&mut session, &form) {
        return response::stale_form();
    }
    if session.draft.services.len() > before {
        return response::redirect(&page::service_path(before));
    }
    response::redirect(page::OVERVIEW)
}

async fn edit_zones(State(console): ConsoleState, form: VerifiedForm) -> Response {
    edit_and_show(&console, &form, page::ZONES).await
}

async fn edit_service(State(console): ConsoleState, Path(index): Path<usize>, form: VerifiedForm) -> Response {
    edit_and_show(&console, &form, &page::service_path(index)).await
}

async fn edit_change(State(console): ConsoleState, form: VerifiedForm) -> Response {
    edit_and_show(&console, &form, page::REVIEW).await
}

async fn edit_and_show(console: &Console, form: &VerifiedForm, path: &str) -> Response {
    let mut session = console.session.lock().await;
    match edit(&mut session, form) {
        Ok(()) => response::redirect(path),
        Err(StaleForm) => response::stale_form(),
    }
}

/// The form shows an older draft. Its paths may refer to other items in the current one.
struct StaleForm;

/// Updates the draft from a form, unless the form shows an older draft.
fn edit(session: &mut Session, form: &VerifiedForm) -> Result<(), StaleForm> {
    let form_version = input::value(&form.0, VERSION_FIELD);
    if form_version != Some(session.version.to_string().as_str()) {
        return Err(StaleForm);
    }
    let button = input::value(&form.0, BUTTON_FIELD).unwrap_or_default();
    session.edit(&form.0, Button::from(button));
    Ok(())
}

/// Applies the draft in a task of its own, which completes even if the browser disconnects. A cancelled write could
/// still take effect, and its author would then be shown a conflict as if another document had come first.
async fn apply_draft(State(console): ConsoleState, form: VerifiedForm) -> Response {
    let task = tokio::spawn(async move { apply_locked(&console, &form).await });
    let applied = task.await;
    applied.unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into_response())
}

/// Applies the draft. The session stays locked, so that the applied draft is the one that was shown.
async fn apply_locked(console: &Console, form: &VerifiedForm) -> Response {
    let mut session = console.session.lock().await;
    if let Err(StaleForm) = edit(&mut session, form) {
        return response::stale_form();
    }
    session.apply_attempted = true;
    let Some(document) = session.check().document else {
        return response::redirect(page::REVIEW);
    };
    match plan_and_apply(console, &session, document).await {
        Ok(applied) => {
            let response = response::applied(&applied.document, &applied.differences, applied.read_back);
            session.restart(Some(applied.document));
            response
        }
        Err(refusal) => response::apply_refused(&console.view(&session), &refusal),
    }
}

/// A document that was applied.
struct Applied {
    document: config::Document,
    differences: Vec<config::Difference>,
    read_back: bool,
}

async fn plan_and_apply(console: &Console, session: &Session, document: config::Document) -> Result<Applied, Refusal> {
    let plan = apply::plan(&console.client, session.base_revision(), document).await?;
    let applied = apply::apply(&console.client, &plan, RetryPolicy::default()).await?;
    log::info!("console: revision {} applied", applied.revision);
    Ok(Applied {
        document: plan.document,
        differences: plan.differences,
        read_back: applied.read_back,
    })
}

/// Reloads the platform's document. The draft is discarded, unless the operator chose to review it against that
/// document.
async fn restart(State(console): ConsoleState, form: VerifiedForm) -> Response {
    let mut session = console.session.lock().await;
    let base = match session::load(&console.client).await {
        Ok(base) => base,
        Err(error) => return response::load_failed(&error),
    };
    if input::value(&form.0, BUTTON_FIELD) == Some(page::KEEP_DRAFT) {
        session.rebase(base);
        return response::redirect(page::REVIEW);
    }
    session.restart(base);
    response::redirect(page::OVERVIEW)
}
