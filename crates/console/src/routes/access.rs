//! Middleware and extractors that check access.

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

use crate::guard::AccessError;
use crate::input;
use crate::input::FormPairs;

use super::Console;
use super::response;

/// Headers of every response: no resources from other origins, no scripts, no framing, no caching.
const HEADERS: [(HeaderName, &str); 4] = [
    (
        CONTENT_SECURITY_POLICY,
        "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'",
    ),
    (X_CONTENT_TYPE_OPTIONS, "nosniff"),
    (REFERRER_POLICY, "same-origin"),
    (CACHE_CONTROL, "no-store"),
];

/// Rejects requests from other sites, and adds the common headers to every response.
pub async fn require_same_site(State(console): State<Arc<Console>>, request: Request, next: Next) -> Response {
    let mut response = match console.guard.check_host_and_origin(request.method(), request.headers()) {
        Ok(()) => next.run(request).await,
        Err(error) => reject(error),
    };
    for (name, value) in HEADERS {
        response.headers_mut().insert(name, HeaderValue::from_static(value));
    }
    response
}

/// Rejects requests without a valid cookie.
pub async fn require_cookie(State(console): State<Arc<Console>>, request: Request, next: Next) -> Response {
    match console.guard.check_cookie(request.headers()) {
        Ok(()) => next.run(request).await,
        Err(error) => reject(error),
    }
}

/// Sets the cookie if the key is correct.
pub async fn enter(State(console): State<Arc<Console>>, Query(pairs): Query<FormPairs>) -> Response {
    let key = input::value(&pairs, "key").unwrap_or_default();
    match console.guard.enter(key) {
        Ok(cookie) => response::entered(&cookie),
        Err(error) => reject(error),
    }
}

/// A posted form with a valid token.
#[derive(Debug)]
pub struct VerifiedForm(pub FormPairs);

impl FromRequest<Arc<Console>> for VerifiedForm {
    type Rejection = Response;

    async fn from_request(request: Request, console: &Arc<Console>) -> Result<Self, Response> {
        let form = Form::<FormPairs>::from_request(request, console).await;
        let Form(pairs) = form.map_err(IntoResponse::into_response)?;
        console.guard.check_form(&pairs).map_err(reject)?;
        Ok(Self(pairs))
    }
}

fn reject(error: AccessError) -> Response {
    log::warn!("console: request rejected: {error}");
    response::forbidden(error)
}
