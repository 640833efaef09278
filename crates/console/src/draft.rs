//! The document being edited. Every value is the text that was entered, valid or not.
//!
//! Values have the same paths as in the document, so that each problem is shown at the input that causes it.

use config::Document;
use config::FieldPath;

/// The document being edited.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Draft {
    pub change: Change,
    pub zones: Vec<Zone>,
    pub services: Vec<Service>,
}

#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Change {
    pub author: String,
    pub approver: String,
    pub reason: String,
}

#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Zone {
    pub name: String,
    pub region: String,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Service {
    pub name: String,
    pub addresses: Vec<String>,
    pub sharing: Sharing,
    pub kinds: Vec<Kind>,
    pub upstreams: Vec<Upstream>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Sharing {
    pub affinity: String,
    pub prefer_local_zone: String,
    pub queue_limit: String,
    pub retry_budget_percent: String,
    pub slow_start_ms: String,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Kind {
    pub name: String,
    pub weight: String,
    pub idempotent: String,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Upstream {
    pub name: String,
    pub zone: String,
    pub address: String,
    pub slots: String,
    pub state: String,
}

impl Default for Service {
    fn default() -> Self {
        Self {
            name: String::new(),
            addresses: vec![String::new()],
            sharing: Sharing::from(&config::Sharing::default()),
            kinds: vec![Kind::default()],
            upstreams: Vec::new(),
        }
    }
}

impl Default for Kind {
    /// Not idempotent by default: if that is wrong, it does no harm.
    fn default() -> Self {
        Self {
            name: String::new(),
            weight: "1".to_owned(),
            idempotent: "false".to_owned(),
        }
    }
}

impl Default for Upstream {
    fn default() -> Self {
        Self {
            name: String::new(),
            zone: String::new(),
            address: String::new(),
            slots: String::new(),
            state: config::UpstreamState::default().to_string(),
        }
    }
}

impl From<&Document> for Draft {
    /// Returns a draft without changes. Its change record is blank until the operator fills it in.
    fn from(document: &Document) -> Self {
        Self {
            change: Change::default(),
            zones: document.zones.iter().map(Zone::from).collect(),
            services: document.services.iter().map(Service::from).collect(),
        }
    }
}

impl From<&config::Zone> for Zone {
    fn from(zone: &config::Zone) -> Self {
        Self {
            name: zone.name.to_string(),
            region: zone.region.to_string(),
        }
    }
}

impl From<&config::Service> for Service {
    fn from(service: &config::Service) -> Self {
        Self {
            name: service.name.to_string(),
            addresses: service.addresses.iter().map(ToString::to_string).collect(),
            sharing: Sharing::from(&service.sharing),
            kinds: service.kinds.iter().map(Kind::from).collect(),
            upstreams: service.upstreams.iter().map(Upstream::from).collect(),
        }
    }
}

impl From<&config::Sharing> for Sharing {
    fn from(sharing: &config::Sharing) -> Self {
        Self {
            affinity: sharing.affinity.to_string(),
            prefer_local_zone: sharing.prefer_local_zone.to_string(),
            queue_limit: sharing.queue_limit.to_string(),
            retry_budget_percent: sharing.retry_budget_percent.to_string(),
            slow_start_ms: sharing.slow_start.as_millis().to_string(),
        }
    }
}

impl From<&config::Kind> for Kind {
    fn from(kind: &config::Kind) -> Self {
        Self {
            name: kind.name.to_string(),
            weight: kind.weight.to_string(),
            idempotent: kind.idempotent.to_string(),
        }
    }
}

impl From<&config::Upstream> for Upstream {
    fn from(upstream: &config::Upstream) -> Self {
        Self {
            name: upstream.name.to_string(),
            zone: upstream.zone.to_string(),
            address: upstream.address.to_string(),
            slots: upstream.slots.to_string(),
            state: upstream.state.to_string(),
        }
    }
}

/// Returns the path of the change record.
pub fn change_field() -> FieldPath {
    FieldPath::default().member("change")
}

/// Returns the path of the zones.
pub fn zones_field() -> FieldPath {
    FieldPath::default().member("zones")
}

/// Returns the path of the services.
pub fn services_field() -> FieldPath {
    FieldPath::default().member("services")
}

/// Returns the path of a service.
pub fn service_field(index: usize) -> FieldPath {
    services_field().item(index)
}
