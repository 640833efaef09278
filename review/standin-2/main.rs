//! Stand-ins for the cases of this review, on the standard library alone: the platform's store, targets and clients,
//! and a small deployment of real `jayquayd` processes between them. Everything listens on loopback addresses.
//!
//! Usage: `standin CASE JAYQUAYD RECORD`, with `TROUBLE=0` in the environment to leave out the disruption.
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case couldn't run.

mod client;
mod cold_restart;
mod deployment;
mod foreign_entry;
mod packet;
mod record;
mod store;
mod target;
mod watchers_lost;

use std::process::exit;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, jayquayd, record] = args.as_slice() else {
        eprintln!("usage: standin CASE JAYQUAYD RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let outcome = match case.as_str() {
        "foreign-entry" => foreign_entry::run(jayquayd, record, trouble),
        "cold-restart" => cold_restart::run(jayquayd, record, trouble),
        "watchers-lost" => watchers_lost::run(jayquayd, record, trouble),
        _ => Err(format!("unknown case {case}")),
    };
    match outcome {
        Ok(true) => println!("rule held"),
        Ok(false) => {
            println!("rule broken");
            exit(1);
        }
        Err(why) => {
            println!("could not run: {why}");
            exit(2);
        }
    }
}
