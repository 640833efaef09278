//! Runs many seeds: `cargo run --release -p proof --example seeds -- --from 1 --count 500`.
//!
//! Each seed draws which families of faults it has: one, two, or all. Exit code 1 if any promise was broken.

use std::collections::BTreeMap;
use std::process::ExitCode;

use bpaf::Parser;
use bpaf::construct;
use bpaf::long;
use proof::family;
use proof::family::Family;
use proof::random;

#[derive(Debug, Clone)]
struct Options {
    from: u64,
    count: u64,
    only: Vec<String>,
}

fn options() -> bpaf::OptionParser<Options> {
    let from = long("from").help("The first seed").argument("SEED").fallback(1);
    let count = long("count").help("How many seeds").argument("COUNT").fallback(100);
    let only = long("only")
        .help("A family of faults; may be given more than once")
        .argument("FAMILY")
        .many();
    construct!(Options { from, count, only }).to_options()
}

/// The families of a seed: every fourth has one, every other two of them, and the rest all.
fn families(seed: u64, only: &[String]) -> Vec<Family> {
    if !only.is_empty() {
        let named = |family: &Family| only.contains(&family.to_string());
        return family::ALL.into_iter().filter(named).collect();
    }
    let len = family::ALL.len() as u64;
    let first = family::ALL[(seed % len) as usize];
    let second = family::ALL[(seed / len % len) as usize];
    match seed % 4 {
        0 => vec![first],
        1 => family::ALL.to_vec(),
        _ => vec![first, second],
    }
}

fn main() -> ExitCode {
    let options = options().run();
    let mut broken = 0;
    let mut asked = 0;
    let mut endings: BTreeMap<String, u32> = BTreeMap::new();
    for seed in options.from..options.from + options.count {
        let families = families(seed, &options.only);
        let outcome = random::run(seed, &families);
        asked += outcome.summary.asked;
        for (words, count) in outcome.endings {
            *endings.entry(words).or_default() += count;
        }
        if let Some(report) = outcome.broken {
            broken += 1;
            println!("families {families:?}\n{report}\n");
        }
    }
    let count = options.count;
    for (words, count) in endings {
        println!("{count:8} {words}");
    }
    println!("{count} seeds, {broken} broken; {asked} operations");
    if broken > 0 {
        ExitCode::FAILURE
    } else {
        ExitCode::SUCCESS
    }
}
