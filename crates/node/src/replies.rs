//! Replies to callers: refusals, and answers in chunks. The caller controls the flow by pulling chunks.

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
use crate::Record;
use crate::node::Context;

impl Node {
    /// Sends the chunks that a caller requested.
    pub(crate) fn handle_pull(&mut self, cx: &mut Context<'_>, key: FlowKey, caller: SocketAddr, pull: &Pull) {
        let held = self
            .ledgers
            .answer(key, pull.seq)
            .filter(|answer| answer.head.digest == pull.digest);
        let Some(answer) = held else {
            let verdict = Verdict::MayHaveRun;
            let reason = Reason::AnswerGone;
            self.counters.count_refusal(verdict, reason);
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

    #[expect(
        clippy::too_many_arguments,
        reason = "each argument is a field of the reply, and a struct would only duplicate it"
    )]
    pub(crate) fn reply_refused(
        &mut self,
        cx: &mut Context<'_>,
        caller: SocketAddr,
        key: FlowKey,
        seq: RequestSeq,
        (verdict, reason): (Verdict, Reason),
        retry_after: Millis,
        granted: Option<IssuedToken>,
    ) {
        self.counters.count_refusal(verdict, reason);
        cx.record(Record::Refused(key.flow, seq, verdict, reason));
        let subject = RefusalSubject::Request(key.flow, seq);
        let refused = Refused {
            subject,
            verdict,
            reason,
            retry_after,
            granted,
        };
        cx.push(Action::Reply(caller, Reply::Refused(refused)));
    }
}

/// Sends one chunk of an answer, if the answer has a chunk of that index.
pub(crate) fn push_chunk(
    cx: &mut Context<'_>,
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
