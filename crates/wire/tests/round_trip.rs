//! Decoding an encoded message yields the original message.

mod common;

use proptest::prelude::*;

proptest! {
    #![proptest_config(common::config(256))]

    #[test]
    fn packet(packet in common::packet()) {
        let bytes = wire::encode_packet(&packet);
        prop_assert!(bytes.len() <= wire::MAX_PACKET_LEN);
        prop_assert_eq!(wire::decode_packet(&bytes), Ok(packet));
    }

    #[test]
    fn reply(reply in common::reply()) {
        let bytes = wire::encode_reply(&reply);
        prop_assert!(bytes.len() <= wire::MAX_PACKET_LEN);
        prop_assert_eq!(wire::decode_reply(&bytes), Ok(reply));
    }

    #[test]
    fn frame(frame in common::frame()) {
        prop_assert_eq!(wire::decode_frame(&wire::encode_frame(&frame)), Ok(frame));
    }
}
