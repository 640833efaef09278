//! Reads what a holder holds.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use adapter::Store;
use flow::Document;
use jayquayd::forward::status;
use units::ZoneName;

use crate::flows::error::Error;
use crate::flows::holder::Holder;
use crate::instance::Asker;

/// The zones that operators ask to be emptied, as the store has it.
pub async fn evacuations(store: SocketAddr) -> Result<BTreeSet<ZoneName>, Error> {
    Ok(Store::new(store).list_evacuations().await?.requested)
}

/// The document that a holder has.
pub async fn document(holder: Holder) -> Result<Document, Error> {
    match holder {
        Holder::Store(address) => {
            let read = Store::new(address).read_document().await?;
            match read.newest {
                Some((_, document)) => Ok(document),
                None if read.is_unreadable => Err(Error::UnreadableDocument(
                    holder,
                    read.why_unreadable.unwrap_or_default(),
                )),
                None => Err(Error::NoDocument(holder)),
            }
        }
        Holder::Instance(address) => {
            let page = Asker::new().page(address, status::DOCUMENT_PATH).await;
            let page = page.map_err(|silent| Error::Instance(holder, silent.to_string()))?;
            serde_json::from_str(&page).map_err(|error| Error::Instance(holder, error.to_string()))
        }
    }
}
