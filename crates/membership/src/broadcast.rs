//! What is still to be told, newest and least told first.

use std::cmp::Reverse;

use units::InstanceName;
use units::UpstreamName;

use crate::grow_only::InstanceId;

/// What a piece of news is about. Its content is read when it is sent, so it is never older than the sender's view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Topic {
    /// This instance or another one.
    Member(InstanceName),
    /// A hand-over by this incarnation.
    Successor(InstanceId),
    /// A leaving upstream.
    LeavingUpstream(UpstreamName),
}

/// How many topics wait at most. When more comes at once, exchanges of all that is known tell it cheaper.
const MAX_QUEUED: usize = 48;

#[derive(Debug, Clone)]
struct QueuedTopic {
    topic: Topic,
    sent: u32,
    serial: u64,
}

/// What is still to be told.
#[derive(Debug, Default, Clone)]
pub(crate) struct BroadcastQueue {
    items: Vec<QueuedTopic>,
    serial: u64,
}

impl BroadcastQueue {
    /// Puts a topic first, and has it told anew as often as if it had not been told before.
    ///
    /// If there are too many, the one that was told most is dropped.
    pub(crate) fn push(&mut self, topic: Topic) {
        self.items.retain(|item| item.topic != topic);
        self.serial += 1;
        let serial = self.serial;
        self.items.push(QueuedTopic { topic, sent: 0, serial });
        if self.items.len() > MAX_QUEUED {
            self.drop_most_sent();
        }
    }

    fn drop_most_sent(&mut self) {
        let items = self.items.iter().enumerate();
        let most_sent = items.max_by_key(|(_, item)| (item.sent, Reverse(item.serial)));
        if let Some((index, _)) = most_sent {
            self.items.swap_remove(index);
        }
    }

    /// Takes up to `count` topics for one frame. Each is told `times` times in all.
    pub(crate) fn take(&mut self, count: usize, times: u32) -> Vec<Topic> {
        if self.items.is_empty() {
            return Vec::new();
        }
        self.items.sort_by_key(|item| (item.sent, Reverse(item.serial)));
        let mut topics = Vec::new();
        for item in self.items.iter_mut().take(count) {
            item.sent += 1;
            topics.push(item.topic.clone());
        }
        self.items.retain(|item| item.sent < times);
        topics
    }

    pub(crate) fn len(&self) -> usize {
        self.items.len()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
