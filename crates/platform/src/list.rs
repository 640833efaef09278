//! The platform's list of live and leaving instances and upstreams, or a part of it. It lags.

use node::Listed;
use units::ZoneName;

use crate::Client;
use crate::Error;
use crate::api;
use crate::api::ListResponse;
use crate::client::ReadRequest;

/// Which part of the list is read.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub enum ListScope {
    /// All of it.
    #[default]
    All,
    /// All instances, and the upstreams that are leaving.
    Instances,
    /// The instances of one availability zone, and the upstreams that are leaving.
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

/// A part of the list as it was read last, from which a later read tells whether it has changed.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct List {
    scope: ListScope,
    tag: Option<String>,
    entries: Vec<Listed>,
}

impl List {
    /// A part of the list that has not been read yet.
    pub fn new(scope: ListScope) -> Self {
        Self {
            scope,
            tag: None,
            entries: Vec::new(),
        }
    }

    /// What was read last.
    pub fn entries(&self) -> &[Listed] {
        &self.entries
    }
}

impl Client {
    /// Reads the whole list.
    pub async fn list(&self) -> Result<Vec<Listed>, Error> {
        let mut list = List::default();
        self.refresh(&mut list).await?;
        Ok(list.entries)
    }

    /// Reads a part of the list again, and tells whether there may be something new. What has not changed is not sent.
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
