//! What happens in an experiment, and when.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use balance::Report;
use units::Slots;

use crate::Error;

/// Seconds before anything is measured.
pub(crate) const WARM_UP: f64 = 15.0;
/// When the scenario's event begins.
pub(crate) const EVENT: f64 = 45.0;
/// When the scenario's event ends.
pub(crate) const AFTER: f64 = 75.0;
/// When an experiment ends.
pub(crate) const END: f64 = 105.0;

/// What happens in an experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scenario {
    /// Load 0.7 and nothing else.
    Calm,
    /// Load 0.9 and nothing else.
    Busy,
    /// Load 1.5 for a time, 0.7 before and after.
    Overload,
    /// Load 3 for a time, 0.7 before and after, and refused callers come back.
    Flood,
    /// A fifth of the upstreams fail 30% of their requests fast, load 0.7.
    SomeFail,
    /// All upstreams fail 30% of their requests fast, load 0.7.
    AllFail,
    /// All upstreams serve well and say that they are unhealthy and idle, load 0.9.
    SayUnhealthy,
    /// A fifth of the upstreams fail everything fast and say that they are healthy and idle, load 0.7.
    SayHealthy,
    /// A fifth of the upstreams restart and are slow at first, load 0.9.
    Cold,
    /// A fifth of the upstreams get two and a half times slower and stay so, load 0.7.
    Slow,
    /// The upstreams of an availability zone cannot be reached for a time, load 0.6.
    ZoneLoss,
    /// Flows keep their upstream, load 0.7.
    Pinned,
    /// Two homes serve at once for a time, load 0.7.
    TwoHomes,
    /// The home is frozen for three seconds and another takes over after one, load 0.7.
    FrozenHome,
}

impl Scenario {
    /// All scenarios.
    pub const ALL: [Self; 14] = [
        Self::Calm,
        Self::Busy,
        Self::Overload,
        Self::Flood,
        Self::SomeFail,
        Self::AllFail,
        Self::SayUnhealthy,
        Self::SayHealthy,
        Self::Cold,
        Self::Slow,
        Self::ZoneLoss,
        Self::Pinned,
        Self::TwoHomes,
        Self::FrozenHome,
    ];

    /// The scenario's name on the command line and in results.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::Busy => "busy",
            Self::Overload => "overload",
            Self::Flood => "flood",
            Self::SomeFail => "some-fail",
            Self::AllFail => "all-fail",
            Self::SayUnhealthy => "say-unhealthy",
            Self::SayHealthy => "say-healthy",
            Self::Cold => "cold",
            Self::Slow => "slow",
            Self::ZoneLoss => "zone-loss",
            Self::Pinned => "pinned",
            Self::TwoHomes => "two-homes",
            Self::FrozenHome => "frozen-home",
        }
    }

    /// The offered load at a time, as a share of what all slots can serve.
    pub(crate) fn load(self, seconds: f64) -> f64 {
        let event = (EVENT..AFTER).contains(&seconds);
        match self {
            Self::Overload if event => 1.5,
            Self::Flood if event => 3.0,
            Self::Busy | Self::SayUnhealthy | Self::Cold => 0.9,
            Self::ZoneLoss => 0.6,
            _ => 0.7,
        }
    }

    /// The highest offered load.
    pub(crate) fn peak(self) -> f64 {
        self.load(0.0).max(self.load(EVENT))
    }

    /// Whether the figures are those of the event rather than of the whole time.
    pub(crate) fn has_event(self) -> bool {
        !matches!(self, Self::Calm | Self::Busy | Self::Pinned)
    }

    /// Whether a refused caller comes back when it was told to.
    pub(crate) fn callers_return(self) -> bool {
        self == Self::Flood
    }

    /// The share of requests that an upstream fails.
    pub(crate) fn failing(self, upstream: usize, seconds: f64) -> f64 {
        if !(EVENT..AFTER).contains(&seconds) {
            return 0.0;
        }
        match self {
            Self::SomeFail if is_chosen(upstream) => 0.3,
            Self::AllFail => 0.3,
            Self::SayHealthy if is_chosen(upstream) => 1.0,
            _ => 0.0,
        }
    }

    /// Whether an upstream is one of those that fail or restart.
    pub(crate) fn is_chosen(self, upstream: usize) -> bool {
        match self {
            Self::AllFail => true,
            Self::SomeFail | Self::SayHealthy | Self::Cold | Self::Slow => is_chosen(upstream),
            _ => false,
        }
    }

    /// Whether the upstreams of an availability zone can be reached.
    pub(crate) fn reaches(self, zone: usize, seconds: f64) -> bool {
        let event = (EVENT..AFTER).contains(&seconds);
        !(self == Self::ZoneLoss && event && zone == LOST_ZONE)
    }

    /// How many times slower than usual an upstream is.
    pub(crate) fn slowness(self, upstream: usize, seconds: f64) -> f64 {
        const COLD: f64 = 3.0;
        const COLD_FOR: f64 = 8.0;
        const SLOW: f64 = 2.5;
        if !is_chosen(upstream) || seconds < EVENT {
            return 1.0;
        }
        match self {
            Self::Slow => SLOW,
            Self::Cold => {
                let warmth = ((seconds - EVENT) / COLD_FOR).min(1.0);
                COLD + (1.0 - COLD) * warmth
            }
            _ => 1.0,
        }
    }

    /// How long ago an upstream started, as it says.
    fn age(self, upstream: usize, seconds: f64) -> Duration {
        const LONG: f64 = 100_000.0;
        let restarted = self == Self::Cold && is_chosen(upstream) && seconds >= EVENT;
        let age = if restarted { seconds - EVENT } else { LONG };
        Duration::from_secs_f64(age)
    }

    /// What an upstream with so many requests says of itself, if it can be reached.
    pub(crate) fn report(self, upstream: usize, zone: usize, present: usize, seconds: f64) -> Option<Report> {
        if !self.reaches(zone, seconds) {
            return None;
        }
        let event = (EVENT..AFTER).contains(&seconds);
        let lies = match self {
            Self::SayUnhealthy => event,
            Self::SayHealthy => event && is_chosen(upstream),
            _ => false,
        };
        let busy = if lies { 0 } else { present };
        Some(Report {
            healthy: !(lies && self == Self::SayUnhealthy),
            draining: false,
            busy: Slots(busy as u16),
            age: self.age(upstream, seconds),
        })
    }
}

/// The availability zone that is lost, by number.
const LOST_ZONE: usize = 1;

/// Every fifth upstream.
fn is_chosen(upstream: usize) -> bool {
    upstream % 5 == 1
}

impl fmt::Display for Scenario {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(self.as_str())
    }
}

impl FromStr for Scenario {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let found = Self::ALL.iter().find(|scenario| scenario.as_str() == text);
        found.copied().ok_or_else(|| Error::Scenario(text.to_owned()))
    }
}
