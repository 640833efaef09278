//! Families of faults, as randomised runs draw them.

use std::fmt;

/// A family of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Family {
    /// An instance's process is killed and later starts anew.
    Kill,
    /// An instance's machine is gone and comes back later.
    Vanish,
    /// An instance is frozen, past every timeout at times, and goes on.
    Freeze,
    /// An instance is stopped as planned and starts anew.
    Replace,
    /// An upstream drains, ends when idle, and starts anew.
    Drain,
    /// The platform lists an upstream as leaving.
    ListLeaving,
    /// An upstream is killed and starts anew, cold.
    KillUpstream,
    /// An upstream lies about its health or load.
    Lie,
    /// An upstream fails, sheds or is slow.
    Fail,
    /// An upstream answers late, twice or crossed.
    Answer,
    /// Packets are lost.
    Lose,
    /// Packets are doubled, held back, reordered and replayed.
    Shuffle,
    /// Callers send earlier requests again under their present token.
    Rewrap,
    /// A stranger sends altered packets, or answers are altered on their way.
    Tamper,
    /// Callers ask for three times of what the upstreams can do.
    Overload,
    /// Two zones are cut off from each other.
    Cut,
    /// A zone is cut off from the platform.
    CutPlatform,
    /// The platform is down, slow, stale or lagging.
    Platform,
    /// The document changes.
    Document,
    /// Two operators change the document from the same revision.
    Race,
    /// Secrets are rotated, and all instances replaced.
    Rotate,
}

/// All families.
pub const ALL: [Family; 21] = [
    Family::Kill,
    Family::Vanish,
    Family::Freeze,
    Family::Replace,
    Family::Drain,
    Family::ListLeaving,
    Family::KillUpstream,
    Family::Lie,
    Family::Fail,
    Family::Answer,
    Family::Lose,
    Family::Shuffle,
    Family::Rewrap,
    Family::Tamper,
    Family::Overload,
    Family::Cut,
    Family::CutPlatform,
    Family::Platform,
    Family::Document,
    Family::Race,
    Family::Rotate,
];

/// Families of planned changes, and of what no flow may notice.
pub const PLANNED: [Family; 7] = [
    Family::Replace,
    Family::Drain,
    Family::ListLeaving,
    Family::Shuffle,
    Family::Document,
    Family::Race,
    Family::Rotate,
];

/// Pairs that tell more than their halves.
pub const TELLING: [[Family; 2]; 16] = [
    [Family::Freeze, Family::Replace],
    [Family::Freeze, Family::Shuffle],
    [Family::Replace, Family::Shuffle],
    [Family::Replace, Family::Cut],
    [Family::Kill, Family::Lose],
    [Family::Kill, Family::Replace],
    [Family::Drain, Family::CutPlatform],
    [Family::Platform, Family::Document],
    [Family::Cut, Family::Document],
    [Family::Answer, Family::Shuffle],
    [Family::Drain, Family::Overload],
    [Family::Replace, Family::Overload],
    [Family::Kill, Family::Shuffle],
    [Family::Kill, Family::Rewrap],
    [Family::Replace, Family::Rewrap],
    [Family::Replace, Family::Answer],
];

impl fmt::Display for Family {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}
