//! The names, units and labels of all metrics.
//!
//! No label value comes from the network. Each label has a fixed set of values, except for the services and zones of
//! the flow mode, whose number is limited.

use metrics::Counter;
use metrics::Gauge;
use metrics::Histogram;
use metrics::Unit;
use wire::MemberState;

/// The states of a member with their label values.
pub(crate) const MEMBER_STATES: [(MemberState, &str); 4] = [
    (MemberState::Alive, "alive"),
    (MemberState::Suspect, "suspect"),
    (MemberState::Leaving, "leaving"),
    (MemberState::Dead, "dead"),
];

/// Defines a function for each metric, a function `describe` for all of them, and the constant `NAMES`.
macro_rules! table {
    ($($(#[$doc:meta])* $kind:ident $function:ident($($label:ident),*) $name:literal $unit:ident $help:literal;)*) => {
        $(table!(@$kind $(#[$doc])* $function($($label),*) $name);)*

        /// Registers the descriptions of all metrics with the installed recorder.
        pub fn describe() {
            $(table!(@describe $kind $name $unit $help);)*
        }

        /// The names of all metrics, without suffixes added by an exporter.
        pub const NAMES: &[&str] = &[$($name),*];
    };
    (@counter $(#[$doc:meta])* $function:ident() $name:literal) => {
        $(#[$doc])*
        pub fn $function() -> Counter {
            metrics::counter!($name)
        }
    };
    (@counter $(#[$doc:meta])* $function:ident($label:ident) $name:literal) => {
        $(#[$doc])*
        pub fn $function($label: &'static str) -> Counter {
            metrics::counter!($name, stringify!($label) => $label)
        }
    };
    (@counter $(#[$doc:meta])* $function:ident($first:ident, $second:ident) $name:literal) => {
        $(#[$doc])*
        pub fn $function($first: &str, $second: &str) -> Counter {
            metrics::counter!($name, stringify!($first) => $first.to_owned(), stringify!($second) => $second.to_owned())
        }
    };
    (@gauge $(#[$doc:meta])* $function:ident() $name:literal) => {
        $(#[$doc])*
        pub fn $function() -> Gauge {
            metrics::gauge!($name)
        }
    };
    (@gauge $(#[$doc:meta])* $function:ident($label:ident) $name:literal) => {
        $(#[$doc])*
        pub fn $function($label: &'static str) -> Gauge {
            metrics::gauge!($name, stringify!($label) => $label)
        }
    };
    (@gauge $(#[$doc:meta])* $function:ident($first:ident, $second:ident) $name:literal) => {
        $(#[$doc])*
        pub fn $function($first: &str, $second: &str) -> Gauge {
            metrics::gauge!($name, stringify!($first) => $first.to_owned(), stringify!($second) => $second.to_owned())
        }
    };
    (@histogram $(#[$doc:meta])* $function:ident() $name:literal) => {
        $(#[$doc])*
        pub fn $function() -> Histogram {
            metrics::histogram!($name)
        }
    };
    (@histogram $(#[$doc:meta])* $function:ident($label:ident) $name:literal) => {
        $(#[$doc])*
        pub fn $function($label: &'static str) -> Histogram {
            metrics::histogram!($name, stringify!($label) => $label)
        }
    };
    (@describe counter $name:literal $unit:ident $help:literal) => {
        metrics::describe_counter!($name, Unit::$unit, $help);
    };
    (@describe gauge $name:literal $unit:ident $help:literal) => {
        metrics::describe_gauge!($name, Unit::$unit, $help);
    };
    (@describe histogram $name:literal $unit:ident $help:literal) => {
        metrics::describe_histogram!($name, Unit::$unit, $help);
    };
}

pub(crate) use table;

table! {
    /// Datagrams received from callers.
    counter datagrams_received() "jayquay_datagrams_received_total" Count "Datagrams that came from callers.";
    /// Datagrams dropped unread.
    counter datagrams_dropped(cause) "jayquay_datagrams_dropped_total" Count
        "Datagrams dropped unread: too_long, source_rate, total_rate or busy.";
    /// Replies sent to callers.
    counter replies_sent() "jayquay_replies_sent_total" Count "Replies sent to callers.";
    /// Replies dropped because the socket's send buffer was full.
    counter replies_dropped() "jayquay_replies_dropped_total" Count "Replies dropped because the socket took no more.";
    /// Established sessions.
    gauge sessions_up() "jayquay_sessions" Count "Sessions with other instances that are up.";
    /// Authenticated sessions.
    counter sessions_begun(side) "jayquay_sessions_begun_total" Count
        "Sessions that were authenticated, by the side that made them: outgoing or incoming.";
    /// Sessions that were rejected or could not be established.
    counter sessions_failed(cause) "jayquay_sessions_failed_total" Count
        "Handshakes that failed: stranger, version, wrong_name, malformed, closed, timeout, connect, busy, limit or old_life.";
    /// Established sessions that ended.
    counter sessions_ended(cause) "jayquay_sessions_ended_total" Count
        "Sessions that ended: idle, closed, silent, stalled, replaced or full.";
    /// Frames sent to other instances.
    counter frames_sent() "jayquay_frames_sent_total" Count "Frames sent to other instances.";
    /// Bytes of frames sent to other instances.
    counter frame_bytes_sent() "jayquay_frame_bytes_sent_total" Bytes "Bytes of frames sent to other instances.";
    /// Frames received from other instances.
    counter frames_received() "jayquay_frames_received_total" Count "Frames that came from other instances.";
    /// Bytes of frames received from other instances.
    counter frame_bytes_received() "jayquay_frame_bytes_received_total" Bytes
        "Bytes of frames that came from other instances.";
    /// Messages from other instances that could not be decoded.
    counter frames_unread() "jayquay_frames_unread_total" Count
        "Messages from other instances that could not be read.";
    /// Frames not sent because they were too long.
    counter frames_too_long() "jayquay_frames_too_long_total" Count "Frames that were too long to be sent.";
    /// Timestamps from other instances that were too far ahead.
    counter stamps_ahead() "jayquay_stamps_ahead_total" Count
        "Frames whose stamp lay more than a minute ahead: a clock is wrong.";
    /// Completed calls to upstreams.
    counter calls(result) "jayquay_calls_total" Count
        "Calls to upstreams, by result: answered, shed, draining, unreachable, failed, mismatched, timed_out or cancelled.";
    /// Duration of calls to upstreams.
    histogram call_seconds() "jayquay_call_seconds" Seconds "How long calls to upstreams took, from connecting on.";
    /// Calls to upstreams in progress.
    gauge calls_running() "jayquay_calls_running" Count "Calls to upstreams in progress.";
    /// Polls of upstreams.
    counter polls(result) "jayquay_polls_total" Count "Polls of upstreams, by result: ok or failed.";
    /// Calls to the platform.
    counter platform_calls(result) "jayquay_platform_calls_total" Count "Calls to the platform, by result: ok or failed.";
    /// Whether the platform is reachable.
    gauge platform_up() "jayquay_platform_up" Count "1 while the platform answers, else 0.";
    /// Events handled by the node.
    counter events() "jayquay_events_total" Count "Events that the node handled.";
    /// Duration of one batch of events.
    histogram batch_seconds() "jayquay_batch_seconds" Seconds "How long one batch of events took.";
    /// Revision of the document in force.
    gauge revision() "jayquay_revision" Count "The revision of the document in force, 0 without one.";
    /// Refusals sent to callers.
    counter refusals(reason) "jayquay_refusals_total" Count "Requests refused, by reason.";
    /// Requests answered.
    counter answered() "jayquay_answered_total" Count "Requests answered.";
    /// Flows opened.
    counter opened() "jayquay_flows_opened_total" Count "Flows opened.";
    /// Flows whose ledger is on this instance.
    gauge flows() "jayquay_flows" Count "Flows with a ledger here.";
    /// Requests in progress on this instance.
    gauge requests() "jayquay_requests" Count "Requests in progress here.";
    /// Bytes of answers waiting to be pulled.
    gauge answer_bytes() "jayquay_answer_bytes" Bytes "Answers that wait to be pulled.";
    /// Packets handled by the node.
    counter packets() "jayquay_packets_total" Count "Packets that the node took.";
    /// Packets that could not be decoded.
    counter malformed() "jayquay_packets_malformed_total" Count "Packets that could not be read.";
    /// Packets forwarded to the owner of their flow.
    counter forwarded() "jayquay_packets_forwarded_total" Count "Packets passed on to the owner of their flow.";
    /// Documents that failed validation.
    counter documents_rejected() "jayquay_documents_rejected_total" Count "Documents that did not pass the checks.";
    /// Time of the process's clock.
    gauge time() "jayquay_time_seconds" Seconds "The process's clock, since the Unix epoch.";
    /// Instances known to this one.
    gauge members(state) "jayquay_members" Count
        "Instances that this one knows, itself included: alive, suspect, leaving or dead.";
    /// Upstreams of the services whose home is this instance.
    gauge upstreams(state) "jayquay_upstreams" Count
        "Upstreams of the services whose home is here: active, warming, ejected, probing, draining or removed.";
}
