//! Answers on their way to callers, chunk by chunk. The caller sets the pace.

use std::net::SocketAddr;

use serde_bytes::ByteBuf;
use units::Millis;
use units::RequestSeq;
use wire::Answer;
use wire::Chunk;
use wire::IssuedToken;
use wire::Pull;
use wire::Reason;
use wire::RefusalSubject;
use wire::Refused;
use wire::Reply;
use wire::Verdict;

use crate::Action;
use crate::FlowKey;
use crate::Node;
use crate::node::Cx;

impl Node {
    /// Sends the chunks that a caller asks for.
    pub(crate) fn take_pull(&mut self, cx: &mut Cx<'_>, key: FlowKey, caller: SocketAddr, pull: &Pull) {
        let held = self
            .ledgers
            .answer(key, pull.seq)
            .filter(|answer| answer.head.digest == pull.digest);
        let Some(answer) = held else {
            let verdict = Verdict::MayHaveRun;
            let reason = Reason::AnswerGone;
            self.counters.refuse(verdict, reason);
            let subject = RefusalSubject::Pull(key.flow, pull.seq, pull.digest);
            let refused = Refused {
                subject,
                verdict,
                reason,
                retry_after: Millis(0),
                granted: None,
            };
            return cx.push(Action::Reply(caller, Reply::Refused(refused)));
        };
        let count = u32::from(pull.count.min(Pull::MAX_COUNT));
        for index in pull.first..pull.first.saturating_add(count) {
            push_chunk(cx, caller, key, pull.seq, answer, index, None);
        }
    }
}

/// Sends one chunk of an answer, if the answer has it.
pub(crate) fn push_chunk(
    cx: &mut Cx<'_>,
    caller: SocketAddr,
    key: FlowKey,
    seq: RequestSeq,
    answer: &Answer,
    index: u32,
    granted: Option<IssuedToken>,
) {
    let Some(data) = answer.chunk(index) else {
        return;
    };
    let data = ByteBuf::from(data.to_vec());
    let chunk = Chunk {
        flow: key.flow,
        seq,
        head: answer.head,
        index,
        data,
        granted,
    };
    cx.push(Action::Reply(caller, Reply::Chunk(chunk)));
}
