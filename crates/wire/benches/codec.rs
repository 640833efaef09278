//! Benchmarks for encoding and decoding packets.

use divan::Bencher;
use divan::black_box;
use serde_bytes::ByteBuf;
use units::FlowId;
use units::Millis;
use units::RequestSeq;
use wire::Answer;
use wire::Chunk;
use wire::Packet;
use wire::Reply;
use wire::Request;
use wire::SealedToken;

fn main() {
    divan::main();
}

/// A request of typical size: an 80-byte token and a 200-byte body.
fn request() -> Packet {
    Packet::Request(Request {
        token: SealedToken(ByteBuf::from(vec![7; 80])),
        service: "availability".parse().expect("valid name"),
        seq: RequestSeq(1_000),
        sent: RequestSeq(1_000),
        kind: "hold".parse().expect("valid name"),
        timeout: Millis(2_000),
        body: ByteBuf::from(vec![7; 200]),
    })
}

/// A chunk of maximum size from a long answer.
fn chunk() -> Reply {
    let answer = Answer::new(vec![7; 100_000]);
    let data = answer.chunk(1).expect("answer has more than one chunk").to_vec();
    Reply::Chunk(Chunk {
        flow: FlowId(1 << 60),
        seq: RequestSeq(1_000),
        head: answer.head,
        index: 1,
        data: ByteBuf::from(data),
        granted: None,
    })
}

#[divan::bench]
fn decode_request(bencher: Bencher<'_, '_>) {
    let bytes = wire::encode_packet(&request());
    bencher.bench(|| wire::decode_packet(black_box(&bytes)));
}

#[divan::bench]
fn encode_request(bencher: Bencher<'_, '_>) {
    let packet = request();
    bencher.bench(|| wire::encode_packet(black_box(&packet)));
}

#[divan::bench]
fn decode_chunk(bencher: Bencher<'_, '_>) {
    let bytes = wire::encode_reply(&chunk());
    bencher.bench(|| wire::decode_reply(black_box(&bytes)));
}

#[divan::bench]
fn encode_chunk(bencher: Bencher<'_, '_>) {
    let reply = chunk();
    bencher.bench(|| wire::encode_reply(black_box(&reply)));
}

/// Rejecting garbage must cost less than decoding a valid packet.
#[divan::bench]
fn reject_garbage(bencher: Bencher<'_, '_>) {
    let bytes = vec![0x9f; wire::MAX_PACKET_LEN];
    bencher.bench(|| wire::decode_packet(black_box(&bytes)));
}
