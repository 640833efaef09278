//! An operators' document before it is in force: each value as it was written, or the text that can't be read.
//!
//! Documents may be written for a later release than this one, by other tools or by mistake. What can't be read costs as little as
//! it can:
//!
//! | value | what holds in its place |
//! |---|---|
//! | how requests may be treated | they run once at most |
//! | how soon a request should be answered | nothing told |
//! | the address, or all services, of a route | the route is left out |
//! | the service of a share | the share is left out |
//! | the weight of a share | 0: no new flows while others have a weight |
//! | what a service's cold upstreams bear | nothing told |
//! | how long a flow may be silent | [`LONGEST_IDLE`] |
//!
//! What holds follows from the document alone, never from what was in force before, so that all instances hold the same and an auditor
//! can tell it from the document. A route that is left out is refused at once, as one that was removed is. A document none of whose
//! routes can be used is no document: an earlier one stays in force.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

use units::Rate;
use units::Revision;
use units::Weight;

use crate::route;
use crate::route::ColdStart;
use crate::warning::Reading;
use crate::warning::Subject;
use crate::warning::Warning;

/// How long a flow may be silent where that can't be read: longer than flows live.
pub const LONGEST_IDLE: Duration = Duration::from_hours(1);
/// How many warnings a document keeps. They travel with it between instances.
const MOST_WARNINGS: usize = 64;

/// A value as it was written.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub enum Told<T> {
    /// Nothing is said.
    #[default]
    Absent,
    /// It can be read.
    Known(T),
    /// It can't: the text as it was written.
    Unknown(String),
}

impl<T> Told<T> {
    /// The value, or else the text that can't be read. Nothing at all can be read as little as nonsense.
    fn required(self) -> Result<T, String> {
        match self {
            Self::Absent => Err("nothing".to_owned()),
            Self::Known(value) => Ok(value),
            Self::Unknown(text) => Err(text),
        }
    }

    /// The value, `None` where nothing is said, or else the text that can't be read.
    fn optional(self) -> Result<Option<T>, String> {
        match self {
            Self::Absent => Ok(None),
            Self::Known(value) => Ok(Some(value)),
            Self::Unknown(text) => Err(text),
        }
    }
}

/// How a request may be treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Running it twice does no harm.
    Idempotent,
    /// It may run once at most.
    Once,
}

/// A service's part of a route.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Share {
    /// The service that gets it.
    pub service: Told<String>,
    /// Its size, relative to the route's other shares.
    pub weight: Told<Weight>,
}

/// A route.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The address that clients dial.
    pub address: Told<SocketAddrV4>,
    /// How its requests may be treated.
    pub kind: Told<Kind>,
    /// How soon a request should be answered.
    pub aim: Told<Duration>,
    /// The services that share its new flows.
    pub shares: Vec<Share>,
}

/// A service.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// For how long its upstreams are cold after their start.
    pub lasts: Told<Duration>,
    /// How many new flows a second each bears meanwhile.
    pub rate: Told<Rate>,
}

/// A document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Document {
    /// The number that operators gave it.
    pub revision: Revision,
    /// Its routes.
    pub routes: Vec<Route>,
    /// How long a flow may be silent before it may be forgotten.
    pub idle_timeout: Told<Duration>,
    /// Its services.
    pub services: Vec<Service>,
}

/// None of a document's routes can be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NoRouteError {
    /// Why the first of them can't.
    pub first: Warning,
}

impl fmt::Display for NoRouteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "none of its routes can be used, as {}", self.first)
    }
}

impl std::error::Error for NoRouteError {}

/// What can't be read of one subject, as it is found.
struct Remarks<'a> {
    subject: Subject,
    warnings: &'a mut Vec<Warning>,
}

impl Remarks<'_> {
    fn add(&mut self, field: &'static str, value: &str, reading: Reading) {
        self.warnings
            .push(Warning::new(self.subject.clone(), field, value, reading));
    }

    /// A value that may be left out, or `T::default()` where it can't be read.
    fn optional<T: Default>(&mut self, field: &'static str, told: Told<T>) -> T {
        match told.optional() {
            Ok(value) => value.unwrap_or_default(),
            Err(text) => {
                self.add(field, &text, Reading::Absent);
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
            // Each route that is left out has its warning.
            let first = warnings.into_iter().find(|warning| warning.reading == Reading::LeftOut);
            let first = first.unwrap_or_else(|| Warning::new(Subject::Document, "routes", "", Reading::LeftOut));
            return Err(NoRouteError { first });
        }
        let cold_starts = draft.services.into_iter();
        let cold_starts = cold_starts
            .map(|service| read_service(service, &mut warnings))
            .collect();
        let idle_timeout = draft.idle_timeout.required().unwrap_or_else(|text| {
            let reading = Reading::LongestIdle;
            warnings.push(Warning::new(Subject::Document, "idle timeout", &text, reading));
            LONGEST_IDLE
        });
        warnings.truncate(MOST_WARNINGS);
        Ok(Self {
            revision: draft.revision,
            routes,
            idle_timeout,
            cold_starts,
            warnings,
        })
    }
}

/// The route that a draft stands for, `None` if it can't be used.
fn read_route(draft: Route, warnings: &mut Vec<Warning>) -> Option<route::Route> {
    let mut remarks = Remarks {
        subject: Subject::Route(draft.name),
        warnings,
    };
    let kind = draft.kind.required().unwrap_or_else(|text| {
        remarks.add("kind", &text, Reading::Once);
        Kind::Once
    });
    let aim = remarks.optional("aim", draft.aim);
    let shares = draft.shares.into_iter();
    let shares: Vec<route::Share> = shares.filter_map(|share| read_share(share, &mut remarks)).collect();
    if shares.is_empty() {
        remarks.add("services", "nothing that can be read", Reading::LeftOut);
        return None;
    }
    match draft.address.required() {
        Ok(address) => Some(route::Route {
            address,
            shares,
            idempotent: kind == Kind::Idempotent,
            aim,
        }),
        Err(text) => {
            remarks.add("address", &text, Reading::LeftOut);
            None
        }
    }
}

/// The share that a draft stands for, `None` if it names no service.
fn read_share(draft: Share, remarks: &mut Remarks<'_>) -> Option<route::Share> {
    let service = draft.service.required();
    let service = service.map_err(|text| remarks.add("service", &text, Reading::ShareLeftOut));
    let weight = draft.weight.required().unwrap_or_else(|text| {
        remarks.add("weight", &text, Reading::NoWeight);
        Weight(0)
    });
    Some(route::Share {
        service: service.ok()?,
        weight,
    })
}

fn read_service(draft: Service, warnings: &mut Vec<Warning>) -> (String, ColdStart) {
    let mut remarks = Remarks {
        subject: Subject::Service(draft.name.clone()),
        warnings,
    };
    let lasts = remarks.optional("cold time", draft.lasts);
    let rate = remarks.optional("cold rate", draft.rate);
    let cold = ColdStart {
        lasts,
        rate: Some(rate).filter(|rate| *rate > Rate::default()),
    };
    (draft.name, cold)
}
