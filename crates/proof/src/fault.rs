//! Faults by name, as scenarios and randomised runs bring them about.

use std::collections::BTreeSet;
use std::fmt;
use std::str::FromStr;

use units::InstanceName;
use units::UpstreamName;
use units::ZoneName;

/// One fault, or the end of one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Fault {
    /// The process ends at once; its sockets are closed.
    Kill(InstanceName),
    /// The machine is gone; nothing tells its peers.
    Vanish(InstanceName),
    /// The process is stopped, while its sockets stay open.
    Freeze(InstanceName),
    /// A frozen process goes on.
    Resume(InstanceName),
    /// A planned stop begins.
    Stop(InstanceName),
    /// A new life of an instance begins.
    Start(InstanceName),
    /// An upstream says that it takes no more work.
    Drain(UpstreamName),
    /// The platform lists an upstream as leaving. The upstream itself does not know.
    ListLeaving(UpstreamName),
    /// An upstream's process ends at once.
    KillUpstream(UpstreamName),
    /// A new life of an upstream begins, cold.
    StartUpstream(UpstreamName),
    /// How an upstream behaves from now on.
    Behave(UpstreamName, Behaviour),
    /// What the fabric does to packets, in percent.
    Fabric(Mishap, u32),
    /// Two availability zones are cut off from each other.
    Cut(ZoneName, ZoneName),
    /// They are joined again.
    Join(ZoneName, ZoneName),
    /// An availability zone is cut off from the platform.
    CutPlatform(ZoneName),
    /// It is joined again.
    JoinPlatform(ZoneName),
    /// How the platform fares from now on.
    Platform(PlatformState),
    /// Callers that ask by themselves do so this often, in milliseconds.
    Load(u64),
    /// The secrets that later lives of instances hold: the one they seal with, and the one they also accept.
    Secrets(u8, u8),
}

/// How an upstream misbehaves.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// It does not.
    #[default]
    Honest,
    /// It answers everything slowly.
    Slow,
    /// It says it is healthy, and fails its calls.
    FailingHealthy,
    /// It says it is unhealthy, and serves.
    LyingUnhealthy,
    /// It reports any load but its own.
    LyingLoad,
    /// It answers after the deadline, too.
    Late,
    /// It answers twice.
    Twice,
    /// It answers with another request's answer.
    Crossed,
    /// It refuses every call before it begins.
    Shedding,
}

/// What a fabric does to packets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mishap {
    /// It loses them.
    Lose,
    /// It doubles them.
    Double,
    /// It holds them back for up to two seconds.
    Delay,
    /// It lets later ones overtake them.
    Reorder,
    /// It delivers a second copy five to twenty seconds later.
    Replay,
    /// A caller breaks the protocol: it sends an earlier request again under the token that it has now.
    Rewrap,
    /// It alters a byte of a chunk of an answer.
    Corrupt,
    /// A stranger sends an altered copy: a forged token, another service, or noise.
    Tamper,
}

/// How the platform fares.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub enum PlatformState {
    /// Well.
    #[default]
    Up,
    /// It does not answer.
    Down,
    /// It answers after a second.
    Slow,
    /// A re-list gives an older document.
    Stale,
    /// The list of instances and upstreams lags by ten seconds.
    Lagging,
}

impl Fault {
    /// Whether operators bring this about in the course of planned work, or no flow may notice it.
    pub fn is_planned(&self) -> bool {
        match self {
            // A packet held back for two seconds may miss its deadline, and so may an altered answer, whatever the
            // instances do.
            Self::Fabric(mishap, _) => {
                !matches!(mishap, Mishap::Lose | Mishap::Delay | Mishap::Corrupt | Mishap::Rewrap)
            }
            Self::Behave(_, behaviour) => matches!(behaviour, Behaviour::Honest | Behaviour::LyingLoad),
            // Callers who ask too much may miss their deadlines.
            Self::Load(_)
            | Self::Kill(_)
            | Self::Vanish(_)
            | Self::Freeze(_)
            | Self::KillUpstream(_)
            | Self::Cut(..)
            | Self::CutPlatform(_) => false,
            Self::Stop(_)
            | Self::Start(_)
            | Self::Drain(_)
            | Self::ListLeaving(_)
            | Self::StartUpstream(_)
            | Self::Secrets(..)
            | Self::Resume(_)
            | Self::Join(..)
            | Self::JoinPlatform(_)
            | Self::Platform(_) => true,
        }
    }
}

/// A text names no fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseFaultError(String);

impl fmt::Display for ParseFaultError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "no such fault: {}", self.0)
    }
}

impl std::error::Error for ParseFaultError {}

impl FromStr for Fault {
    type Err = ParseFaultError;

    /// Reads a fault as scenarios spell it, such as `kill a1` or `cut east west`.
    fn from_str(text: &str) -> Result<Self, ParseFaultError> {
        let words: Vec<&str> = text.split_whitespace().collect();
        parse(&words).ok_or_else(|| ParseFaultError(text.to_owned()))
    }
}

fn parse(words: &[&str]) -> Option<Fault> {
    let fault = match words {
        ["kill", name] => Fault::Kill(name.parse().ok()?),
        ["vanish", name] => Fault::Vanish(name.parse().ok()?),
        ["freeze", name] => Fault::Freeze(name.parse().ok()?),
        ["resume", name] => Fault::Resume(name.parse().ok()?),
        ["stop", name] => Fault::Stop(name.parse().ok()?),
        ["start", name] => Fault::Start(name.parse().ok()?),
        ["drain", name] => Fault::Drain(name.parse().ok()?),
        ["list-leaving", name] => Fault::ListLeaving(name.parse().ok()?),
        ["kill-upstream", name] => Fault::KillUpstream(name.parse().ok()?),
        ["start-upstream", name] => Fault::StartUpstream(name.parse().ok()?),
        ["upstream", name, behaviour] => Fault::Behave(name.parse().ok()?, parse_behaviour(behaviour)?),
        ["fabric", mishap, percent] => {
            Fault::Fabric(parse_mishap(mishap)?, percent.trim_end_matches('%').parse().ok()?)
        }
        ["cut", zone, "platform"] => Fault::CutPlatform(zone.parse().ok()?),
        ["join", zone, "platform"] => Fault::JoinPlatform(zone.parse().ok()?),
        ["cut", a, b] => Fault::Cut(a.parse().ok()?, b.parse().ok()?),
        ["join", a, b] => Fault::Join(a.parse().ok()?, b.parse().ok()?),
        ["load", millis] => Fault::Load(millis.trim_end_matches("ms").parse().ok()?),
        ["secrets", current, also] => Fault::Secrets(current.parse().ok()?, also.parse().ok()?),
        ["platform", state] => Fault::Platform(parse_platform(state)?),
        _ => return None,
    };
    Some(fault)
}

fn parse_behaviour(word: &str) -> Option<Behaviour> {
    let behaviour = match word {
        "honest" => Behaviour::Honest,
        "slow" => Behaviour::Slow,
        "failing-healthy" => Behaviour::FailingHealthy,
        "lying-unhealthy" => Behaviour::LyingUnhealthy,
        "lying-load" => Behaviour::LyingLoad,
        "late" => Behaviour::Late,
        "twice" => Behaviour::Twice,
        "crossed" => Behaviour::Crossed,
        "shedding" => Behaviour::Shedding,
        _ => return None,
    };
    Some(behaviour)
}

fn parse_mishap(word: &str) -> Option<Mishap> {
    let mishap = match word {
        "lose" => Mishap::Lose,
        "double" => Mishap::Double,
        "delay" => Mishap::Delay,
        "reorder" => Mishap::Reorder,
        "replay" => Mishap::Replay,
        "rewrap" => Mishap::Rewrap,
        "corrupt" => Mishap::Corrupt,
        "tamper" => Mishap::Tamper,
        _ => return None,
    };
    Some(mishap)
}

fn parse_platform(word: &str) -> Option<PlatformState> {
    let state = match word {
        "up" => PlatformState::Up,
        "down" => PlatformState::Down,
        "slow" => PlatformState::Slow,
        "stale" => PlatformState::Stale,
        "lagging" => PlatformState::Lagging,
        _ => return None,
    };
    Some(state)
}

/// Which parts of the network are cut off from which.
#[derive(Debug, Default)]
pub(crate) struct Cuts {
    zones: BTreeSet<(ZoneName, ZoneName)>,
    platform: BTreeSet<ZoneName>,
}

impl Cuts {
    /// Cuts two zones off from each other, or joins them.
    pub(crate) fn set(&mut self, a: &ZoneName, b: &ZoneName, cut: bool) {
        let pair = ordered(a, b);
        if cut {
            self.zones.insert(pair);
        } else {
            self.zones.remove(&pair);
        }
    }

    /// Cuts a zone off from the platform, or joins it.
    pub(crate) fn set_platform(&mut self, zone: &ZoneName, cut: bool) {
        if cut {
            self.platform.insert(zone.clone());
        } else {
            self.platform.remove(zone);
        }
    }

    /// Whether two zones reach each other.
    pub(crate) fn joined(&self, a: &ZoneName, b: &ZoneName) -> bool {
        !self.zones.contains(&ordered(a, b))
    }

    /// Whether any two zones are cut off from each other.
    pub(crate) fn any(&self) -> bool {
        !self.zones.is_empty()
    }

    /// Whether a zone reaches the platform.
    pub(crate) fn platform(&self, zone: &ZoneName) -> bool {
        !self.platform.contains(zone)
    }
}

fn ordered(a: &ZoneName, b: &ZoneName) -> (ZoneName, ZoneName) {
    let (a, b) = if a <= b { (a, b) } else { (b, a) };
    (a.clone(), b.clone())
}
