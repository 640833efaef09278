//! A fake of the sessions between instances: ordered while up, cut by partitions and by the end of a process.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use node::Peer;
use units::InstanceName;
use units::Time;
use wire::Frame;

/// One direction between two instances.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Link {
    /// Who sends.
    pub(crate) from: InstanceName,
    /// Who receives.
    pub(crate) to: InstanceName,
}

impl Link {
    /// The other direction.
    pub(crate) fn back(&self) -> Self {
        Self {
            from: self.to.clone(),
            to: self.from.clone(),
        }
    }
}

#[derive(Debug)]
struct Channel {
    from: Peer,
    to: Peer,
    frames: VecDeque<(Time, Frame)>,
    last: Time,
}

/// All sessions. A session stands as two channels, one for each direction.
#[derive(Debug, Default)]
pub(crate) struct Sessions {
    channels: BTreeMap<Link, Channel>,
}

impl Sessions {
    /// Whether a session stands between just these two lives.
    pub(crate) fn stands(&self, from: &Peer, to: &Peer) -> bool {
        let link = Link {
            from: from.name.clone(),
            to: to.name.clone(),
        };
        self.channels
            .get(&link)
            .is_some_and(|channel| &channel.from == from && &channel.to == to)
    }

    /// Whether the sender's end of a link is this life. The other end may be gone without a word.
    pub(crate) fn stands_for(&self, link: &Link, from: &Peer) -> bool {
        self.channels.get(link).is_some_and(|channel| &channel.from == from)
    }

    /// The two ends of a session.
    pub(crate) fn ends(&self, link: &Link) -> Option<(Peer, Peer)> {
        let channel = self.channels.get(link)?;
        Some((channel.from.clone(), channel.to.clone()))
    }

    /// Makes a session.
    pub(crate) fn open(&mut self, from: &Peer, to: &Peer) {
        for (a, b) in [(from, to), (to, from)] {
            let link = Link {
                from: a.name.clone(),
                to: b.name.clone(),
            };
            let channel = Channel {
                from: a.clone(),
                to: b.clone(),
                frames: VecDeque::new(),
                last: Time(0),
            };
            self.channels.insert(link, channel);
        }
    }

    /// Puts a frame on its way and tells when it arrives: never before an earlier one.
    pub(crate) fn send(&mut self, link: &Link, now: Time, delay: Duration, frame: Frame) -> Time {
        let Some(channel) = self.channels.get_mut(link) else {
            return now;
        };
        channel.last = channel.last.max(now + delay);
        channel.frames.push_back((channel.last, frame));
        channel.last
    }

    /// Takes the next frame that has arrived, with the life that sent it and the one it is for.
    pub(crate) fn receive(&mut self, link: &Link, now: Time) -> Option<(Peer, Peer, Frame)> {
        let channel = self.channels.get_mut(link)?;
        let (at, _) = channel.frames.front()?;
        if *at > now {
            return None;
        }
        let (_, frame) = channel.frames.pop_front()?;
        Some((channel.from.clone(), channel.to.clone(), frame))
    }

    /// How many frames wait on a link.
    pub(crate) fn waiting(&self, link: &Link) -> usize {
        self.channels.get(link).map_or(0, |channel| channel.frames.len())
    }

    /// Ends a session and everything on its way.
    pub(crate) fn close(&mut self, link: &Link) {
        self.channels.remove(link);
        self.channels.remove(&link.back());
    }

    /// The links on which an instance sends.
    pub(crate) fn of(&self, name: &InstanceName) -> Vec<Link> {
        self.channels
            .keys()
            .filter(|link| &link.from == name)
            .cloned()
            .collect()
    }

    /// All links.
    pub(crate) fn links(&self) -> Vec<Link> {
        self.channels.keys().cloned().collect()
    }

    /// Drops frames that an ended process had not got out any more, and all that were on their way to it.
    pub(crate) fn truncate(&mut self, link: &Link, kept: usize) {
        if let Some(channel) = self.channels.get_mut(link) {
            channel.frames.truncate(kept);
        }
    }
}
