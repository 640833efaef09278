//! Reading the platform's list of live and leaving instances and upstreams. The list may lag behind the leases.

use node::Listed;
use units::ZoneName;

use crate::Client;
use crate::Error;
use crate::api;
use crate::api::ListResponse;
use crate::client::ReadRequest;

/// The part of the list to read.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub enum ListScope {
    /// The complete list.
    #[default]
    All,
    /// All instances, and upstreams that are leaving.
    Instances,
    /// Instances of one availability zone, and upstreams that are leaving.
    Zone(ZoneName),
}

impl ListScope {
    fn path(&self) -> String {
        let list = api::LIST;
        let leaving = format!("{}=leaving", api::UPSTREAMS);
        match self {
            Self::All => list.to_owned(),
            Self::Instances => format!("{list}?{leaving}"),
            Self::Zone(zone) => format!("{list}?{}={zone}&{leaving}", api::ZONE),
        }
    }
}

/// A cached part of the list, with the entity tag that lets a later read detect whether it has changed.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct List {
    scope: ListScope,
    tag: Option<String>,
    entries: Vec<Listed>,
}

impl List {
    /// Creates an empty cache for a part of the list.
    pub fn new(scope: ListScope) -> Self {
        Self {
            scope,
            tag: None,
            entries: Vec::new(),
        }
    }

    /// The entries as last read.
    pub fn entries(&self) -> &[Listed] {
        &self.entries
    }
}

impl Client {
    /// Reads the complete list.
    pub async fn list(&self) -> Result<Vec<Listed>, Error> {
        let mut list = List::default();
        self.refresh(&mut list).await?;
        Ok(list.entries)
    }

    /// Updates a cached part of the list and returns whether it may have changed. The platform does not send an unchanged
    /// list again.
    pub async fn refresh(&self, list: &mut List) -> Result<bool, Error> {
        let path = list.scope.path();
        let read = ReadRequest {
            tag: list.tag.as_deref(),
            ..ReadRequest::new(&path)
        };
        let Some(found) = self.read::<ListResponse>(read).await? else {
            return Ok(false);
        };
        list.tag = found.tag;
        list.entries = found.value.entries;
        Ok(true)
    }
}
