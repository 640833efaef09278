//! The guard at the door.

use std::sync::Arc;

use axum::Form;
use axum::extract::FromRequest;
use axum::extract::Query;
use axum::extract::Request;
use axum::extract::State;
use axum::http::HeaderValue;
use axum::http::header::CACHE_CONTROL;
use axum::http::header::CONTENT_SECURITY_POLICY;
use axum::http::header::HeaderName;
use axum::http::header::REFERRER_POLICY;
use axum::http::header::X_CONTENT_TYPE_OPTIONS;
use axum::middleware::Next;
use axum::response::IntoResponse;
use axum::response::Response;

use crate::guard::Intrusion;
use crate::input;
use crate::input::Pairs;

use super::Console;
use super::answer;

/// What every answer tells the browser: load nothing from elsewhere, run no script, be framed by nobody, keep nothing.
const HEADERS: [(HeaderName, &str); 4] = [
    (
        CONTENT_SECURITY_POLICY,
        "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'",
    ),
    (X_CONTENT_TYPE_OPTIONS, "nosniff"),
    (REFERRER_POLICY, "same-origin"),
    (CACHE_CONTROL, "no-store"),
];

/// Refuses requests from other sites.
pub async fn site(State(console): State<Arc<Console>>, request: Request, next: Next) -> Response {
    let mut response = match console.guard.check_site(request.method(), request.headers()) {
        Ok(()) => next.run(request).await,
        Err(intrusion) => refuse(intrusion),
    };
    for (name, value) in HEADERS {
        response.headers_mut().insert(name, HeaderValue::from_static(value));
    }
    response
}

/// Refuses requests of who has not entered.
pub async fn cookie(State(console): State<Arc<Console>>, request: Request, next: Next) -> Response {
    match console.guard.check_cookie(request.headers()) {
        Ok(()) => next.run(request).await,
        Err(intrusion) => refuse(intrusion),
    }
}

/// Lets in who knows the key.
pub async fn enter(State(console): State<Arc<Console>>, Query(pairs): Query<Pairs>) -> Response {
    let key = input::value(&pairs, "key").unwrap_or_default();
    match console.guard.enter(key) {
        Ok(cookie) => answer::entered(&cookie),
        Err(intrusion) => refuse(intrusion),
    }
}

/// A form that this console made.
#[derive(Debug)]
pub struct Posted(pub Pairs);

impl FromRequest<Arc<Console>> for Posted {
    type Rejection = Response;

    async fn from_request(request: Request, console: &Arc<Console>) -> Result<Self, Response> {
        let form = Form::<Pairs>::from_request(request, console).await;
        let Form(pairs) = form.map_err(IntoResponse::into_response)?;
        console.guard.check_form(&pairs).map_err(refuse)?;
        Ok(Self(pairs))
    }
}

fn refuse(intrusion: Intrusion) -> Response {
    log::warn!("console: refused, {intrusion}");
    answer::forbidden(intrusion)
}
