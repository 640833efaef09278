//! The queue of updates to piggyback on probes, ordered by fewest transmissions, then newest.

use std::cmp::Reverse;

use units::InstanceName;
use units::UpstreamName;

use crate::grow_only::InstanceId;

/// The subject of an update. Its content is read when it is sent, so it is never older than the sender's view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Topic {
    /// This instance or another one.
    Member(InstanceName),
    /// The hand-over of this incarnation.
    Successor(InstanceId),
    /// A leaving upstream.
    LeavingUpstream(UpstreamName),
}

/// The maximum number of queued topics. When more updates arrive at once, full synchronisation transmits them more
/// cheaply.
const MAX_QUEUED: usize = 48;

#[derive(Debug, Clone)]
struct QueuedTopic {
    topic: Topic,
    sent: u32,
    serial: u64,
}

/// The queue of updates that still have to be sent.
#[derive(Debug, Default, Clone)]
pub(crate) struct BroadcastQueue {
    items: Vec<QueuedTopic>,
    serial: u64,
}

impl BroadcastQueue {
    /// Queues a topic at the front and resets its transmission count.
    ///
    /// If the queue is full, the topic with the most transmissions is dropped.
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

    /// Returns up to `count` topics for one frame. Each topic is sent `times` times in all.
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
