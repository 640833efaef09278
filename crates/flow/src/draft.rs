//! An unvalidated document from operators: each value is either parsed, or kept as the text that could not be parsed.
//!
//! Documents may be written for a later release than this one, by other tools, or by mistake. A value that can't be
//! parsed has as little effect as possible:
//!
//! | value | fallback |
//! |---|---|
//! | whether requests are idempotent | requests run at most once |
//! | the target response time of a request | none |
//! | the address, or all services, of a route | the route is skipped |
//! | the service of a share | the share is skipped |
//! | the priority of a route | the least urgent |
//! | the timeout of a route, and the connection limit of a service | none |
//! | the weight of a share | 0: no new flows while other shares have a weight |
//! | the cold start limit of a service | none |
//! | the idle timeout of flows | [`LONGEST_IDLE`] |
//!
//! The fallbacks depend on the document alone, never on the previous document, so that all instances agree and an
//! auditor can derive the result from the document. New flows to a skipped route are refused at once, as for a removed
//! route. A document without any usable route is rejected, and the previous document stays in force.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::num::NonZeroU32;
use std::time::Duration;

use units::Rate;
use units::Revision;
use units::Weight;

use crate::route;
use crate::route::ColdStart;
use crate::route::Priority;
use crate::warning::Fallback;
use crate::warning::Subject;
use crate::warning::Warning;

/// The idle timeout of flows if it can't be parsed. It is longer than flows live.
pub const LONGEST_IDLE: Duration = Duration::from_hours(1);
/// The maximum number of warnings that a document keeps. Warnings are sent between instances along with the document.
const MAX_WARNINGS: usize = 64;

/// A value as written in the document.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub enum DraftValue<T> {
    /// The value is missing.
    #[default]
    Absent,
    /// The parsed value.
    Known(T),
    /// The text of a value that can't be parsed.
    Unknown(String),
}

impl<T> DraftValue<T> {
    /// Returns the value, or the text that can't be parsed. A missing value is an error like an invalid one.
    fn required(self) -> Result<T, String> {
        match self {
            Self::Absent => Err("nothing".to_owned()),
            Self::Known(value) => Ok(value),
            Self::Unknown(text) => Err(text),
        }
    }

    /// Returns the value, `None` if it is missing, or the text that can't be parsed.
    fn optional(self) -> Result<Option<T>, String> {
        match self {
            Self::Absent => Ok(None),
            Self::Known(value) => Ok(Some(value)),
            Self::Unknown(text) => Err(text),
        }
    }
}

/// Whether requests may be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A request may run more than once.
    Idempotent,
    /// A request may run at most once.
    Once,
}

/// A service's share of a route.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Share {
    /// The service that receives the flows.
    pub service: DraftValue<String>,
    /// The weight of this share, relative to the other shares of the route.
    pub weight: DraftValue<Weight>,
}

/// A route.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The address that clients connect to.
    pub address: DraftValue<SocketAddrV4>,
    /// Whether its requests may be repeated.
    pub kind: DraftValue<Kind>,
    /// The target response time of a request.
    pub aim: DraftValue<Duration>,
    /// Which requests go first while their service is short of capacity.
    pub priority: DraftValue<Priority>,
    /// The time after which a client gives up on a request.
    pub timeout: DraftValue<Duration>,
    /// The services that share its new flows.
    pub shares: Vec<Share>,
}

/// A service.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// How long its upstreams are cold after their start.
    pub lasts: DraftValue<Duration>,
    /// The limit for new flows per second to each cold upstream.
    pub rate: DraftValue<Rate>,
    /// The maximum number of open flows at each of its upstreams.
    pub connection_limit: DraftValue<NonZeroU32>,
}

/// A document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// The revision number that operators assigned.
    pub revision: Revision,
    /// Its routes.
    pub routes: Vec<Route>,
    /// The time for which a flow may be idle before it may be forgotten.
    pub idle_timeout: DraftValue<Duration>,
    /// Its services.
    pub services: Vec<Service>,
}

/// The error for a document without any usable route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoRouteError {
    /// The warning for the first skipped route.
    pub first: Warning,
}

impl fmt::Display for NoRouteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "none of its routes can be used: {}", self.first)
    }
}

impl std::error::Error for NoRouteError {}

/// Collects the warnings about one subject.
struct WarningCollector<'a> {
    subject: Subject,
    warnings: &'a mut Vec<Warning>,
}

impl WarningCollector<'_> {
    fn add(&mut self, field: &'static str, value: &str, reading: Fallback) {
        self.warnings
            .push(Warning::new(self.subject.clone(), field, value, reading));
    }

    /// Returns an optional value, or `T::default()` if it is missing or can't be parsed.
    fn optional<T: Default>(&mut self, field: &'static str, value: DraftValue<T>) -> T {
        match value.optional() {
            Ok(value) => value.unwrap_or_default(),
            Err(text) => {
                self.add(field, &text, Fallback::Absent);
                T::default()
            }
        }
    }
}

impl TryFrom<Document> for route::Document {
    type Error = NoRouteError;

    fn try_from(draft: Document) -> Result<Self, NoRouteError> {
        let mut warnings = Vec::new();
        let has_routes = !draft.routes.is_empty();
        let mut routes = BTreeMap::new();
        for route in draft.routes {
            let name = route.name.clone();
            if let Some(route) = read_route(route, &mut warnings) {
                routes.insert(name, route);
            }
        }
        if has_routes && routes.is_empty() {
            // Each skipped route has a warning.
            let first = warnings
                .into_iter()
                .find(|warning| warning.reading == Fallback::LeftOut);
            let first = first.unwrap_or_else(|| Warning::new(Subject::Document, "routes", "", Fallback::LeftOut));
            return Err(NoRouteError { first });
        }
        let (cold_starts, connection_limits) = read_services(draft.services, &mut warnings);
        let idle_timeout = draft.idle_timeout.required().unwrap_or_else(|text| {
            let reading = Fallback::LongestIdle;
            warnings.push(Warning::new(Subject::Document, "idle timeout", &text, reading));
            LONGEST_IDLE
        });
        warnings.truncate(MAX_WARNINGS);
        Ok(Self {
            revision: draft.revision,
            routes,
            idle_timeout,
            cold_starts,
            connection_limits,
            warnings,
        })
    }
}

/// Validates a route. Returns `None` if it can't be used.
fn read_route(draft: Route, warnings: &mut Vec<Warning>) -> Option<route::Route> {
    let mut collector = WarningCollector {
        subject: Subject::Route(draft.name),
        warnings,
    };
    let kind = draft.kind.required().unwrap_or_else(|text| {
        collector.add("kind", &text, Fallback::Once);
        Kind::Once
    });
    let aim = collector.optional("aim", draft.aim);
    let priority = collector.optional("priority", draft.priority);
    let timeout = collector.optional("timeout", draft.timeout);
    let shares = draft.shares.into_iter();
    let shares: Vec<route::Share> = shares.filter_map(|share| read_share(share, &mut collector)).collect();
    if shares.is_empty() {
        collector.add("services", "nothing that can be read", Fallback::LeftOut);
        return None;
    }
    match draft.address.required() {
        Ok(address) => Some(route::Route {
            address,
            shares,
            idempotent: kind == Kind::Idempotent,
            aim,
            priority,
            timeout: Some(timeout).filter(|timeout| !timeout.is_zero()),
        }),
        Err(text) => {
            collector.add("address", &text, Fallback::LeftOut);
            None
        }
    }
}

/// Validates a share. Returns `None` if it names no service.
fn read_share(draft: Share, collector: &mut WarningCollector<'_>) -> Option<route::Share> {
    let service = draft.service.required();
    let service = service.map_err(|text| collector.add("service", &text, Fallback::ShareLeftOut));
    let weight = draft.weight.required().unwrap_or_else(|text| {
        collector.add("weight", &text, Fallback::NoWeight);
        Weight(0)
    });
    Some(route::Share {
        service: service.ok()?,
        weight,
    })
}

/// Validates services. Returns their cold start limits and connection limits by name.
fn read_services(
    services: Vec<Service>,
    warnings: &mut Vec<Warning>,
) -> (BTreeMap<String, ColdStart>, BTreeMap<String, NonZeroU32>) {
    let mut cold_starts = BTreeMap::new();
    let mut connection_limits = BTreeMap::new();
    for service in services {
        let name = service.name.clone();
        let (cold_start, connection_limit) = read_service(service, warnings);
        connection_limits.extend(connection_limit.map(|limit| (name.clone(), limit)));
        cold_starts.insert(name, cold_start);
    }
    (cold_starts, connection_limits)
}

/// Validates a service. Returns its cold start limit and its connection limit.
fn read_service(draft: Service, warnings: &mut Vec<Warning>) -> (ColdStart, Option<NonZeroU32>) {
    let mut collector = WarningCollector {
        subject: Subject::Service(draft.name),
        warnings,
    };
    let lasts = collector.optional("cold time", draft.lasts);
    let rate = collector.optional("cold rate", draft.rate);
    let connection_limit = draft.connection_limit.optional().unwrap_or_else(|text| {
        collector.add("connection limit", &text, Fallback::Absent);
        None
    });
    let cold = ColdStart {
        lasts,
        rate: Some(rate).filter(|rate| *rate > Rate::default()),
    };
    (cold, connection_limit)
}
