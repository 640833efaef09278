//! Message types and CBOR encoding for packets between callers and instances, and frames between instances.
//!
//! This crate contains only data types and their encoding: no protocol logic, no I/O and no clock access. Decoders
//! allocate in proportion to the bytes received, never to a length that the input declares.

mod answer;
mod codec;
mod frame;
mod gossip;
mod packet;
mod reply;
mod vec_without_prealloc;
mod verdict;

pub use answer::Answer;
pub use answer::AnswerHeader;
pub use answer::CHUNK_LEN;
pub use answer::Digest;
pub use codec::DecodeError;
pub use codec::MAX_FRAME_LEN;
pub use codec::MAX_PACKET_LEN;
pub use codec::decode_frame;
pub use codec::decode_packet;
pub use codec::decode_reply;
pub use codec::encode_frame;
pub use codec::encode_packet;
pub use codec::encode_reply;
pub use frame::Acquire;
pub use frame::Delta;
pub use frame::Deny;
pub use frame::Document;
pub use frame::Forward;
pub use frame::Frame;
pub use frame::Grant;
pub use frame::Handover;
pub use frame::HandoverFlow;
pub use frame::Hold;
pub use frame::InstanceIncarnation;
pub use frame::Outcome;
pub use frame::QueuedRequest;
pub use frame::RequestRecord;
pub use frame::Resolved;
pub use frame::Settle;
pub use frame::TicketId;
pub use gossip::Gossip;
pub use gossip::LeavingUpstream;
pub use gossip::Member;
pub use gossip::MemberState;
pub use gossip::Successor;
pub use packet::Close;
pub use packet::Done;
pub use packet::Open;
pub use packet::Packet;
pub use packet::Pull;
pub use packet::Request;
pub use packet::SealedToken;
pub use reply::Accepted;
pub use reply::Chunk;
pub use reply::IssuedToken;
pub use reply::Opened;
pub use reply::RefusalSubject;
pub use reply::Refused;
pub use reply::Reply;
pub use verdict::Reason;
pub use verdict::Verdict;
