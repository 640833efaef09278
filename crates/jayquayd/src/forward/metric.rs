//! Names, units and descriptions of the flow mode's metrics. Label values come from fixed sets, as in the rest of the
//! daemon, except for the services and zones of the load, whose number is limited.
//!
//! The flow core keeps the packet counters itself to avoid a cost per packet; they are copied here when the metrics
//! are read.

use metrics::Counter;
use metrics::Gauge;
use metrics::Histogram;
use metrics::Unit;

use crate::metric::table;

table! {
    /// Flows assigned to an upstream.
    counter placed() "jayquay_flows_placed_total" Count "Flows placed at an upstream, copies of opening packets included.";
    /// Packets forwarded.
    counter forwarded() "jayquay_flow_packets_forwarded_total" Count "Packets of flows forwarded.";
    /// Malformed packets.
    counter malformed() "jayquay_flow_packets_malformed_total" Count "Packets of flows that could not be read.";
    /// Packets that the kernel did not accept for sending.
    counter unsent() "jayquay_flow_packets_unsent_total" Count "Packets of flows that the system's socket did not take.";
    /// Flows reset.
    counter resets(cause) "jayquay_flow_resets_total" Count "Flows reset: no-route, no-upstream, evacuated, cold, overload, stalled or dead.";
    /// Packets dropped.
    counter drops(cause) "jayquay_flow_drops_total" Count "Packets dropped: not-ready, no-echo, unknown-echo, held or reset.";
    /// Opening packets answered by a reset.
    counter refused(cause, priority) "jayquay_flow_openings_refused_total" Count
        "Opening packets answered by a reset, by its cause and the priority of the route.";
    /// Opening packets dropped, to be retransmitted.
    counter held(cause, priority) "jayquay_flow_openings_held_total" Count
        "Opening packets dropped, so that their copies ask again: held or not-ready, by the priority of the route.";
    /// Flows placed in another zone.
    counter spilled(cause, priority) "jayquay_flow_openings_spilled_total" Count
        "Flows placed in another zone: load, no-slots or no-view, by the priority of the route.";
    /// Openings that ask for a service.
    gauge demand(service, zone) "jayquay_flow_demand" Count
        "First copies of opening packets for a service in the last second, at this instance in its zone.";
    /// Slots of a service in a zone.
    gauge slots(service, zone) "jayquay_flow_slots" Count
        "Slots of a service's upstreams in a zone, over all instances; NaN without a fresh view.";
    /// Work in flight of a service in a zone.
    gauge in_flight(service, zone) "jayquay_flow_in_flight" Count
        "Openings and requests without an answer yet in a zone, over all instances; NaN without a fresh view.";
    /// Services by the state of their capacity.
    gauge services(state) "jayquay_flow_services" Count
        "Services with a fresh view of their load: ordinary, spilling or short.";
    /// Outcomes of tries at upstreams.
    counter outcomes(outcome) "jayquay_flow_tries_total" Count
        "Flows opened and requests sent to upstreams, by how they ended: good, refused, overdue, short or rejected.";
    /// Upstreams ejected because of failed tries.
    gauge ejected() "jayquay_flow_ejected" Count
        "Upstreams that get no new flows, or single ones on trial, as tries at them end badly.";
    /// Zones that operators want evacuated.
    gauge evacuated() "jayquay_flow_zones_evacuated" Count "Availability zones that operators have asked to be emptied.";
    /// Flows that are still open in evacuated zones.
    gauge evacuated_flows() "jayquay_flow_zones_evacuated_flows" Count
        "Flows seen here that are still open at upstreams of zones that are to be emptied.";
    /// Flows tracked by this instance.
    gauge remembered() "jayquay_flows_remembered" Count "Flows remembered here.";
    /// Work in flight at upstreams.
    gauge work_in_flight(view) "jayquay_flow_work_in_flight" Count
        "Openings and requests without an answer yet, by view: own, or joint for all instances as far as known.";
    /// Messages about the load of upstreams that were received.
    counter load_messages(kind) "jayquay_load_messages_received_total" Count
        "Messages about the load of upstreams from other instances: report, digest, sums, or late if a newer one was there.";
    /// Duration of handshakes.
    histogram handshake_seconds(zone) "jayquay_flow_handshake_seconds" Seconds
        "From a flow's opening packet to the client's next one, by the upstream's zone: own or other.";
    /// Time until an upstream's response.
    histogram response_seconds(zone) "jayquay_flow_response_seconds" Seconds
        "From a request's first packet to the client's word that an answer comes, by the upstream's zone: own or other.";
    /// Time to process the packets that arrived by one wake-up.
    histogram burst_seconds() "jayquay_flow_burst_seconds" Seconds
        "How long it took to carry the packets that had come by one wake-up.";
    /// The document in force.
    gauge document() "jayquay_flow_document_revision" Count "The operators' revision of the document in force, 0 without one.";
    /// Whether the store's document can't be parsed.
    gauge document_unreadable() "jayquay_flow_document_unreadable" Count
        "1 while the store holds a document that can't be read and an earlier one stays in force, else 0.";
    /// Number of values of the document in force that can't be parsed.
    gauge document_warnings() "jayquay_flow_document_warnings" Count
        "Values of the document in force that can't be read, so that something else holds in their place.";
    /// Revision up to which changes of upstreams are known.
    gauge upstreams_at() "jayquay_flow_upstreams_revision" Count
        "The store's revision up to which changes of upstreams are known.";
    /// Upstreams by state.
    gauge upstreams(state) "jayquay_flow_upstreams" Count "Upstreams known: listed, leaving or gone.";
    /// Known instances by state.
    gauge members(state) "jayquay_flow_members" Count "Instances known, this one included: alive, suspect, leaving or dead.";
    /// Whether this instance watches the store.
    gauge watches() "jayquay_flow_watches" Count "1 while this instance watches the store for its zone, else 0.";
    /// Checks of the store for newer data.
    counter checks(result) "jayquay_store_checks_total" Count
        "Checks whether the store knows more than the fleet: even, behind, gone, failed or handed-on.";
    /// Bytes of changes received from other instances.
    counter change_bytes(zone) "jayquay_change_bytes_received_total" Bytes
        "Bytes of changes that other instances have told, by their zone: own or other.";
    /// Malformed changes from other instances.
    counter changes_malformed() "jayquay_changes_malformed_total" Count
        "Changes from other instances that could not be read.";
}
