//! Decoders must not panic on malformed input, nor allocate memory based on a declared length.

mod common;

use std::alloc::GlobalAlloc;
use std::alloc::Layout;
use std::alloc::System;
use std::cell::Cell;

use proptest::prelude::*;
use wire::DecodeError;
use wire::MAX_FRAME_LEN;
use wire::MAX_PACKET_LEN;

/// Allocation limit independent of the input, in bytes. Covers small buffers and error messages.
const FIXED_ALLOCATION_LIMIT: usize = 16 * 1_024;
/// Additional allocation limit per byte of input. List items are larger in memory than in their encoding, and lists grow
/// by doubling.
const ALLOCATION_LIMIT_PER_BYTE: usize = 64;

thread_local! {
    static ALLOCATED: Cell<usize> = const { Cell::new(0) };
}

/// Counts the bytes allocated by the current thread.
struct CountingAllocator;

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

#[expect(
    unsafe_code,
    reason = "implementing GlobalAlloc requires unsafe code, and only an allocator can count what a decoder allocates"
)]
// SAFETY: every call is passed to the system allocator unchanged.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATED.set(ALLOCATED.get() + layout.size());
        // SAFETY: the caller upholds the same contract.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        // SAFETY: the caller upholds the same contract.
        unsafe { System.dealloc(ptr, layout) }
    }
}

/// Passes the bytes to every decoder and checks how much it allocates.
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
        "{what}: {allocated} bytes allocated, limit is {allowed}, result {error:?}"
    );
}

/// CBOR headers that declare four billion or more bytes, characters, list items or map entries, or an indefinite length.
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

/// Replaces single bytes by false length headers: every byte that may start a list, and a sample of the others.
fn decode_with_false_lengths(bytes: &[u8]) {
    let step = bytes.len().div_ceil(100);
    for (at, byte) in bytes.iter().enumerate() {
        // List headers are in this range, although such a byte may also be part of another item.
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

/// Deeply nested arrays, maps, tags and indefinite-length items.
#[test]
fn deeply_nested_items() {
    for opener in [0x81, 0xa1, 0xc1, 0x9f, 0xbf, 0x5f] {
        check_all_decoders(&[opener; MAX_PACKET_LEN]);
        check_all_decoders(&vec![opener; 100_000]);
    }
}
