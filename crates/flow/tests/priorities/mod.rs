//! A document whose routes to one service have different priorities.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use flow::Document;
use flow::Priority;
use flow::Route;
use units::Revision;

use crate::support;

/// The address of the urgent route. The less urgent one is [`support::route`].
pub fn urgent_route() -> SocketAddrV4 {
    SocketAddrV4::new(*support::route().ip(), 440)
}

/// The document, with the response-time targets of its two routes.
pub fn document(urgent_aim: Duration, other_aim: Duration) -> Document {
    let document = support::document();
    let route = |address, aim, priority| Route {
        address,
        aim,
        priority: Priority::new(priority).unwrap(),
        ..document.routes["r"].clone()
    };
    let routes = BTreeMap::from([
        ("urgent".to_owned(), route(urgent_route(), urgent_aim, 1)),
        ("other".to_owned(), route(support::route(), other_aim, 2)),
    ]);
    Document {
        revision: Revision(2),
        routes,
        ..document
    }
}
