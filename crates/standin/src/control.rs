//! The control address of a stand-in: `GET` and `PUT /behaviour`, `GET /counts`.

use axum::Json;
use axum::Router;
use axum::routing::get;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// What a control address can do to a stand-in.
pub(crate) trait Controlled: Clone + Send + Sync + 'static {
    /// How the stand-in behaves.
    type Behaviour: Serialize + DeserializeOwned + Send + 'static;
    /// What the stand-in counts.
    type Counts: Serialize + Send + 'static;

    /// How it behaves now.
    fn behaviour(&self) -> Self::Behaviour;

    /// Behaves like this, from the return of this call on.
    fn behave(&self, behaviour: Self::Behaviour) -> impl Future<Output = ()> + Send;

    /// What it counted so far.
    fn counts(&self) -> Self::Counts;
}

/// The routes of a control address.
pub(crate) fn routes<T: Controlled>(controlled: &T) -> Router {
    let read = controlled.clone();
    let write = controlled.clone();
    let count = controlled.clone();
    let behaviour = get(move || async move { Json(read.behaviour()) });
    let behaviour =
        behaviour.put(move |Json(behaviour): Json<T::Behaviour>| async move { write.behave(behaviour).await });
    Router::new()
        .route("/behaviour", behaviour)
        .route("/counts", get(move || async move { Json(count.counts()) }))
}
