//! `jayquay flows timeline`: the logs of several instances, merged by time.

use std::fs;
use std::path::Path;
use std::path::PathBuf;

use bpaf::Bpaf;
use bpaf::ShellComp;
use jiff::Timestamp;
use serde::Serialize;

use crate::exit::Report;
use crate::flows::error::Error;
use crate::output;
use crate::timeline::Moment;

pub const HEADER: &str = "Reads logs as `jayquayd --flows` writes them, one file for each instance, and shows their lines in \
the order of their times. The time is each instance's own: lines of instances whose clocks differ are that far apart.";

pub const EXAMPLES: &str = "Examples:
  jayquay flows timeline logs/*.log --find 100.64.0.19:1038
  jayquay flows timeline logs/*.log --part store --since 2026-12-02T18:30:00Z --json";

/// Arguments of `jayquay flows timeline`.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(generate(args), ignore_rustdoc)]
pub struct Args {
    /// Show lines that hold this text, such as a flow's end or an upstream's id. May be given more than once: all must be held.
    #[bpaf(argument("TEXT"), many)]
    find: Vec<String>,
    /// Show lines of this part: daemon, flows, peers, settings or store.
    #[bpaf(argument("PART"))]
    part: Option<String>,
    /// Show lines from this time on, such as 2026-12-02T18:30:00Z.
    #[bpaf(argument("TIME"))]
    since: Option<Moment>,
    /// Show lines up to this time.
    #[bpaf(argument("TIME"))]
    until: Option<Moment>,
    /// Print JSON for scripts, one object a line.
    json: bool,
    /// The logs. The name of a file, without its ending, stands for its instance.
    #[bpaf(positional("FILE"), complete_shell(ShellComp::File { mask: None }), some("name a log"))]
    logs: Vec<PathBuf>,
}

/// A line of an instance's log.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize)]
struct Line {
    time: Timestamp,
    instance: String,
    level: String,
    text: String,
}

impl Line {
    /// Reads `[TIME LEVEL ] TEXT`. `None` if the line is of another kind.
    fn parse(instance: &str, line: &str) -> Option<Self> {
        let (head, text) = line.strip_prefix('[')?.split_once("] ")?;
        let (time, level) = head.split_once(' ')?;
        Some(Self {
            time: time.parse().ok()?,
            instance: instance.to_owned(),
            level: level.trim().to_lowercase(),
            text: text.to_owned(),
        })
    }
}

impl Args {
    fn wants(&self, line: &Line) -> bool {
        let is_of_part = |part: &String| line.text.split_once(':').is_some_and(|(of, _)| of == part);
        let micros = line.time.as_microsecond();
        let is_at = |moment: &Moment| i64::try_from(moment.0.0).unwrap_or(i64::MAX);
        self.find.iter().all(|text| line.text.contains(text))
            && self.part.as_ref().is_none_or(is_of_part)
            && self.since.as_ref().is_none_or(|since| micros >= is_at(since))
            && self.until.as_ref().is_none_or(|until| micros <= is_at(until))
    }
}

/// Reads, merges and shows.
pub fn run(args: &Args) -> Result<Report, Error> {
    let mut lines = Vec::new();
    for path in &args.logs {
        let text = fs::read_to_string(path).map_err(|error| Error::Log(path.clone(), error))?;
        let instance = instance(path);
        let of_log = text.lines().filter_map(|line| Line::parse(&instance, line));
        lines.extend(of_log.filter(|line| args.wants(line)));
    }
    // Lines of one time stay in the order of their log.
    lines.sort_by(|a, b| a.time.cmp(&b.time).then_with(|| a.instance.cmp(&b.instance)));
    let text = lines.iter().map(|line| show(line, args.json));
    Ok(Report::done(text.collect()))
}

fn instance(path: &Path) -> String {
    let stem = path.file_stem().unwrap_or_default();
    stem.to_string_lossy().into_owned()
}

fn show(line: &Line, json: bool) -> String {
    if json {
        return output::json_line(line);
    }
    format!("{:.3} {} {} {}\n", line.time, line.instance, line.level, line.text)
}
