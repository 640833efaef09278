//! Stand-ins of the platform's store, of targets, of clients and of the routers, and the scripted cases that use them.
//!
//! Only the standard library is used. Usage: review-standin CASE DAEMON RECORD, with TROUBLE=0 for the control run.
//! Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

mod case_born;
mod case_cold;
mod case_full;
mod case_queue;
mod client;
mod packet;
mod process;
mod record;
mod store;
mod target;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, daemon, record] = args.as_slice() else {
        eprintln!("usage: review-standin CASE DAEMON RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(record) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write {record}: {error}");
            std::process::exit(2);
        }
    };
    let result = match case.as_str() {
        "born" => case_born::run(daemon, &record, trouble),
        "queue" => case_queue::run(daemon, &record, trouble),
        "cold" => case_cold::run(daemon, &record, trouble),
        "full" => case_full::run(daemon, &record, trouble),
        _ => Err(format!("no case {case}")),
    };
    let code = match result {
        Ok(0) => {
            record.line("result: the rule held");
            0
        }
        Ok(breaks) => {
            record.line(&format!("result: the rule was broken {breaks} times"));
            1
        }
        Err(error) => {
            record.line(&format!("result: the case could not run: {error}"));
            2
        }
    };
    record.flush();
    std::process::exit(code);
}
