//! Decoders against bytes that lie: no panic, and no allocation in proportion to a claim.

mod common;

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::cell::Cell;

use proptest::prelude::*;
use wire::DecodeError;
use wire::MAX_FRAME_LEN;
use wire::MAX_PACKET_LEN;

/// Allowed whatever the input is: small buffers and error texts.
const FIXED_ALLOCATION_LIMIT: usize = 16 * 1_024;
/// Allowed for each byte of input. A list's items are larger in memory than on the wire, and lists grow by doubling.
const ALLOCATION_LIMIT_PER_BYTE: usize = 64;

thread_local! {
    static ALLOCATED: Cell<usize> = const { Cell::new(0) };
}

/// Counts what the present thread allocates.
struct CountingAllocator;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

#[expect(
    unsafe_code,
    reason = "an allocator can't be written otherwise, and only it sees what a decoder allocates"
)]
// SAFETY: every call goes to the system's allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.set(ALLOCATED.get() + layout.size());
        // SAFETY: the caller's duties are the same here.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        // SAFETY: the caller's duties are the same here.
        unsafe { System.dealloc(ptr, layout) }
    }
}

/// Gives the bytes to each decoder and counts what it allocates.
fn check_all_decoders(bytes: &[u8]) {
    let allowed = FIXED_ALLOCATION_LIMIT + ALLOCATION_LIMIT_PER_BYTE * bytes.len();
    check_allocation("packet", allowed, || wire::decode_packet(bytes).err());
    check_allocation("reply", allowed, || wire::decode_reply(bytes).err());
    check_allocation("frame", allowed, || wire::decode_frame(bytes).err());
}

fn check_allocation(what: &str, allowed: usize, decode: impl Fn() -> Option<DecodeError>) {
    ALLOCATED.set(0);
    let error = decode();
    let allocated = ALLOCATED.get();
    assert!(
        allocated <= allowed,
        "{what}: {allocated} bytes were allocated where {allowed} are allowed, {error:?}"
    );
}

/// Headers that claim four thousand millions and more of bytes, characters, items and pairs.
const FALSE_LENGTH_HEADERS: [&[u8]; 8] = [
    &[0x5a, 0xff, 0xff, 0xff, 0xff],
    &[0x7a, 0xff, 0xff, 0xff, 0xff],
    &[0x9a, 0xff, 0xff, 0xff, 0xff],
    &[0xba, 0xff, 0xff, 0xff, 0xff],
    &[0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
    &[0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff],
    &[0x9f],
    &[0x5f],
];

/// Puts claims in place of bytes: every one where a list may begin, and a sample elsewhere.
fn decode_with_false_lengths(bytes: &[u8]) {
    let step = bytes.len().div_ceil(100);
    for (at, byte) in bytes.iter().enumerate() {
        // These are the headers of lists, unless they are part of something else.
        let list = (0x80..=0x9f).contains(byte);
        if !list && at % step != 0 {
            continue;
        }
        for header in FALSE_LENGTH_HEADERS {
            let mut corrupted = bytes[..at].to_vec();
            corrupted.extend_from_slice(header);
            corrupted.extend_from_slice(&bytes[at + 1..]);
            check_all_decoders(&corrupted);
        }
    }
}

proptest! {
    #![proptest_config(common::config(24))]

    #[test]
    fn random_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..MAX_PACKET_LEN + 2)) {
        check_all_decoders(&bytes);
    }

    #[test]
    fn truncated_messages(packet in common::packet(), reply in common::reply()) {
        let bytes = wire::encode_packet(&packet);
        for len in 0..bytes.len() {
            prop_assert_eq!(wire::decode_packet(&bytes[..len]), Err(DecodeError::Truncated));
        }
        let bytes = wire::encode_reply(&reply);
        for len in 0..bytes.len() {
            prop_assert_eq!(wire::decode_reply(&bytes[..len]), Err(DecodeError::Truncated));
        }
    }

    #[test]
    fn trailing_bytes(packet in common::packet()) {
        let mut bytes = wire::encode_packet(&packet);
        bytes.push(0);
        prop_assert_eq!(wire::decode_packet(&bytes), Err(DecodeError::Trailing));
    }

    #[test]
    fn false_lengths(packet in common::packet(), reply in common::reply(), frame in common::frame()) {
        decode_with_false_lengths(&wire::encode_packet(&packet));
        decode_with_false_lengths(&wire::encode_reply(&reply));
        decode_with_false_lengths(&wire::encode_frame(&frame));
    }
}

#[test]
fn oversized_messages() {
    let bytes = vec![0; MAX_PACKET_LEN + 1];
    assert_eq!(wire::decode_packet(&bytes), Err(DecodeError::TooLong));
    assert_eq!(wire::decode_reply(&bytes), Err(DecodeError::TooLong));
    let bytes = vec![0; MAX_FRAME_LEN + 1];
    assert_eq!(wire::decode_frame(&bytes), Err(DecodeError::TooLong));
}

/// Arrays, maps, tags and byte strings of unknown length, one in the other.
#[test]
fn deeply_nested_items() {
    for opener in [0x81, 0xa1, 0xc1, 0x9f, 0xbf, 0x5f] {
        check_all_decoders(&[opener; MAX_PACKET_LEN]);
        check_all_decoders(&vec![opener; 100_000]);
    }
}
