//! How large the explored system is, and which mechanism is taken away.

/// How large the explored system is. Every bound is on the whole run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Scope {
    /// How many instances there are. The first one owns the flow at the beginning.
    pub instances: u8,
    /// How many requests the caller makes, all non-idempotent.
    pub requests: u8,
    /// How many instances crash.
    pub crashes: u8,
    /// How many instances stop with hand-over.
    pub stops: u8,
    /// How many calls an upstream refuses before it begins.
    pub sheds: u8,
    /// Whether owners give requests up.
    pub gives_up: bool,
    /// Whether ended lines sink below the floor.
    pub sinks: bool,
    /// Whether the caller also sends its last number under the token it holds now, which it should not.
    pub careless: bool,
    /// The instances that new tokens name.
    pub homes: Vec<u8>,
    /// The mechanism that is taken away.
    pub mutation: Mutation,
}

/// A mechanism that is taken away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mutation {
    /// None: the protocol as it is.
    None,
    /// Each copy of a request begins as if it were the first.
    NoLedger,
    /// An owner lets requests begin after it has sent its ledger away.
    OwnerGoesOn,
    /// Reissued tokens have no floor, and the caller adopts every token.
    NoFloor,
    /// An instance that does not own a flow says `not run`.
    StrangerSaysNotRun,
    /// An owner says `not run` of a request that it has given up while calling an upstream.
    DoubtIgnored,
    /// An instance that has refused a ledger takes it over all the same.
    RefusalBroken,
    /// A request that moves twice is resumed wherever the word of it arrives.
    ResumeUnchecked,
}

impl Default for Scope {
    fn default() -> Self {
        Self {
            instances: 3,
            requests: 2,
            crashes: 1,
            stops: 1,
            sheds: 1,
            gives_up: true,
            sinks: false,
            careless: false,
            homes: vec![1],
            mutation: Mutation::None,
        }
    }
}

impl Mutation {
    /// Every mechanism that can be taken away.
    pub const ALL: [Self; 7] = [
        Self::NoLedger,
        Self::OwnerGoesOn,
        Self::NoFloor,
        Self::StrangerSaysNotRun,
        Self::DoubtIgnored,
        Self::RefusalBroken,
        Self::ResumeUnchecked,
    ];
}

impl Scope {
    /// A small system in which the loss of a mechanism shows.
    pub fn for_mutation(mutation: Mutation) -> Self {
        Self {
            requests: 1,
            crashes: 0,
            stops: 2,
            careless: true,
            mutation,
            ..Self::default()
        }
    }
}
