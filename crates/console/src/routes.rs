//! The console over HTTP: which request shows or changes what.

mod answer;
mod guarded;

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
use crate::routes::guarded::Posted;
use crate::session;
use crate::session::Button;
use crate::session::Session;

/// The longest form, in bytes. A form of a service with the most upstreams stays below.
const MAX_FORM_LEN: usize = 4_000_000;

/// What the handlers share.
#[derive(Debug)]
pub struct Console {
    client: Client,
    guard: Guard,
    session: Mutex<Session>,
}

impl Console {
    /// A console that works on `session`.
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

type Shared = State<Arc<Console>>;

/// The routes of a console.
pub fn routes(console: Arc<Console>) -> Router {
    Router::new()
        .route(page::OVERVIEW, get(overview).post(edit_services))
        .route(page::ZONES, get(zones).post(edit_zones))
        .route("/services/{index}", get(service).post(edit_service))
        .route(page::REVIEW, get(review).post(edit_change))
        .route(page::APPLY, post(apply_draft))
        .route(page::RESTART, post(restart))
        .route(page::TEXT, get(text))
        .layer(middleware::from_fn_with_state(Arc::clone(&console), guarded::cookie))
        .route(page::STYLE, get(answer::style))
        .route("/enter", get(guarded::enter))
        .fallback(answer::missing)
        .layer(middleware::from_fn_with_state(Arc::clone(&console), guarded::site))
        .layer(DefaultBodyLimit::max(MAX_FORM_LEN))
        .with_state(console)
}

async fn overview(State(console): Shared) -> Response {
    let session = console.session.lock().await;
    answer::page(&page::overview(&console.view(&session)))
}

async fn zones(State(console): Shared) -> Response {
    let session = console.session.lock().await;
    answer::page(&page::zones(&console.view(&session)))
}

async fn review(State(console): Shared) -> Response {
    let session = console.session.lock().await;
    answer::page(&page::review(&console.view(&session)))
}

async fn service(State(console): Shared, Path(index): Path<usize>) -> Response {
    let session = console.session.lock().await;
    let Some(service) = session.draft.services.get(index) else {
        return answer::missing().await.into_response();
    };
    answer::page(&page::service(&console.view(&session), index, service))
}

async fn text(State(console): Shared) -> Response {
    let session = console.session.lock().await;
    answer::text(session.check().text)
}

/// A new service is shown at once.
async fn edit_services(State(console): Shared, posted: Posted) -> Response {
    let mut session = console.session.lock().await;
    let before = session.draft.services.len();
    if let Err(Outdated) = edit(&mut session, &posted) {
        return answer::outdated();
    }
    if session.draft.services.len() > before {
        return answer::go_to(&page::service_path(before));
    }
    answer::go_to(page::OVERVIEW)
}

async fn edit_zones(State(console): Shared, posted: Posted) -> Response {
    edit_and_show(&console, &posted, page::ZONES).await
}

async fn edit_service(State(console): Shared, Path(index): Path<usize>, posted: Posted) -> Response {
    edit_and_show(&console, &posted, &page::service_path(index)).await
}

async fn edit_change(State(console): Shared, posted: Posted) -> Response {
    edit_and_show(&console, &posted, page::REVIEW).await
}

async fn edit_and_show(console: &Console, posted: &Posted, path: &str) -> Response {
    let mut session = console.session.lock().await;
    match edit(&mut session, posted) {
        Ok(()) => answer::go_to(path),
        Err(Outdated) => answer::outdated(),
    }
}

/// The form shows an older draft, whose paths may mean something else by now.
struct Outdated;

/// Takes over a form that shows the draft as it is.
fn edit(session: &mut Session, posted: &Posted) -> Result<(), Outdated> {
    let shown = input::value(&posted.0, VERSION_FIELD);
    if shown != Some(session.version.to_string().as_str()) {
        return Err(Outdated);
    }
    let button = input::value(&posted.0, BUTTON_FIELD).unwrap_or_default();
    session.edit(&posted.0, Button::from(button));
    Ok(())
}

/// Applies the draft, to its end even if the browser hangs up: a write that is cut off could take effect all the
/// same, and its author would then be told that somebody else came first.
async fn apply_draft(State(console): Shared, posted: Posted) -> Response {
    let applying = tokio::spawn(async move { apply_locked(&console, &posted).await });
    let applied = applying.await;
    applied.unwrap_or_else(|_| StatusCode::INTERNAL_SERVER_ERROR.into_response())
}

/// Applies the draft. The session stays locked, so that what is applied is what was shown.
async fn apply_locked(console: &Console, posted: &Posted) -> Response {
    let mut session = console.session.lock().await;
    if let Err(Outdated) = edit(&mut session, posted) {
        return answer::outdated();
    }
    session.tried = true;
    let Some(document) = session.check().document else {
        return answer::go_to(page::REVIEW);
    };
    match carry_out(console, &session, document).await {
        Ok(applied) => {
            let told = answer::applied(&applied.document, &applied.differences, applied.read_back);
            session.restart(Some(applied.document));
            told
        }
        Err(refusal) => answer::refused(&console.view(&session), &refusal),
    }
}

/// A document that was applied.
struct Applied {
    document: config::Document,
    differences: Vec<config::Difference>,
    read_back: bool,
}

async fn carry_out(console: &Console, session: &Session, document: config::Document) -> Result<Applied, Refusal> {
    let plan = apply::plan(&console.client, session.from(), document).await?;
    let applied = apply::apply(&console.client, &plan, RetryPolicy::default()).await?;
    log::info!("console: revision {} applied", applied.revision);
    Ok(Applied {
        document: plan.document,
        differences: plan.differences,
        read_back: applied.read_back,
    })
}

/// Loads the platform's document anew. The draft is dropped, unless it is to be reviewed against that document.
async fn restart(State(console): Shared, posted: Posted) -> Response {
    let mut session = console.session.lock().await;
    let base = match session::load(&console.client).await {
        Ok(base) => base,
        Err(error) => return answer::unloaded(&error),
    };
    if input::value(&posted.0, BUTTON_FIELD) == Some(page::KEEP) {
        session.rebase(base);
        return answer::go_to(page::REVIEW);
    }
    session.restart(base);
    answer::go_to(page::OVERVIEW)
}
