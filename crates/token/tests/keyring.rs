//! Which tokens a keyring accepts and refuses, and how large tokens get.

use std::time::Duration;

use serde_bytes::ByteBuf;
use token::Claims;
use token::Keyring;
use token::Secret;
use token::SecretError;
use token::TokenError;
use units::FlowId;
use units::Incarnation;
use units::Millis;
use units::RequestSeq;
use units::Time;
use wire::Answer;
use wire::Chunk;
use wire::IssuedToken;
use wire::MAX_PACKET_LEN;
use wire::Packet;
use wire::Reply;
use wire::SealedToken;

const LIFETIME: Duration = Duration::from_hours(1);
const ISSUED: Time = Time(1_000_000_000_000);

fn secret(letter: char) -> Secret {
    let text: String = std::iter::repeat_n(letter, 32).collect();
    text.parse().expect("the secret is long enough")
}

fn keyring(current: char, previous: &[char]) -> Keyring {
    let previous: Vec<Secret> = previous.iter().map(|letter| secret(*letter)).collect();
    Keyring::new(&secret(current), &previous, LIFETIME)
}

fn claims() -> Claims {
    Claims {
        service: "availability".parse().expect("a valid name"),
        owner: "entry-1".parse().expect("a valid name"),
        incarnation: Incarnation(5),
        flow: FlowId(7),
        floor: RequestSeq(3),
        pinned: Some("target-1".parse().expect("a valid name")),
        issued: ISSUED,
    }
}

/// Claims with the longest names and the largest numbers.
fn largest_claims() -> Claims {
    let name: String = std::iter::repeat_n('a', 63).collect();
    Claims {
        service: name.parse().expect("a valid name"),
        owner: name.parse().expect("a valid name"),
        incarnation: Incarnation(u64::MAX),
        flow: FlowId(u64::MAX),
        floor: RequestSeq(u64::MAX),
        pinned: Some(name.parse().expect("a valid name")),
        issued: Time(u64::MAX),
    }
}

/// Asserts the result of opening, at `now`, a token that another keyring sealed.
fn assert_opens(issuer: &Keyring, verifier: &Keyring, now: Time, expected: Result<(), TokenError>) {
    let sealed = issuer.seal(&claims());
    assert_eq!(verifier.open(&sealed, now), expected.map(|()| claims()));
}

#[test]
fn opens_only_with_a_known_key() {
    let now = ISSUED;
    assert_opens(&keyring('a', &[]), &keyring('a', &[]), now, Ok(()));
    // During key rotation some instances already seal with the new key while others still use the old one.
    assert_opens(&keyring('a', &[]), &keyring('b', &['a']), now, Ok(()));
    assert_opens(&keyring('b', &['a']), &keyring('a', &['b']), now, Ok(()));
    assert_opens(&keyring('a', &[]), &keyring('b', &[]), now, Err(TokenError::UnknownKey));
    assert_opens(
        &keyring('a', &[]),
        &keyring('b', &['c']),
        now,
        Err(TokenError::UnknownKey),
    );
}

#[test]
fn expired_and_future_tokens_are_refused() {
    let ring = keyring('a', &[]);
    let minute = Duration::from_mins(1);
    assert_opens(&ring, &ring, ISSUED + LIFETIME, Ok(()));
    assert_opens(
        &ring,
        &ring,
        ISSUED + LIFETIME + Duration::from_micros(1),
        Err(TokenError::Expired),
    );
    // Clock skew of up to one minute is tolerated.
    let earliest = Time(ISSUED.0 - u64::try_from(minute.as_micros()).expect("a minute is short"));
    assert_opens(&ring, &ring, earliest, Ok(()));
    assert_opens(&ring, &ring, Time(earliest.0 - 1), Err(TokenError::Expired));
}

#[test]
fn any_flipped_bit_invalidates_a_token() {
    let ring = keyring('a', &['b']);
    let sealed = ring.seal(&claims());
    for index in 0..sealed.0.len() {
        for bit in 0..8 {
            let mut bytes = sealed.0.to_vec();
            bytes[index] ^= 1 << bit;
            let opened = ring.open(&SealedToken(ByteBuf::from(bytes)), ISSUED);
            // The first byte is the key identifier.
            let expected = if index == 0 {
                TokenError::UnknownKey
            } else {
                TokenError::Forged
            };
            assert_eq!(opened, Err(expected), "bit {bit} of byte {index}");
        }
    }
}

#[test]
fn truncated_and_extended_tokens_are_refused() {
    let ring = keyring('a', &[]);
    let sealed = ring.seal(&claims());
    for len in 0..sealed.0.len() {
        let truncated = SealedToken(ByteBuf::from(&sealed.0[..len]));
        let expected = if len <= 16 {
            TokenError::Malformed
        } else {
            TokenError::Forged
        };
        assert_eq!(ring.open(&truncated, ISSUED), Err(expected), "truncated to {len} bytes");
    }
    let mut extended = sealed.0.to_vec();
    extended.push(0);
    let extended = SealedToken(ByteBuf::from(extended));
    assert_eq!(ring.open(&extended, ISSUED), Err(TokenError::Forged));
}

/// Keys derived from one secret for different purposes must differ, or a MAC made for one purpose would pass for another.
#[test]
fn secrets_are_validated_redacted_and_derived_per_purpose() {
    assert_eq!("short".parse::<Secret>(), Err(SecretError));
    assert_eq!(format!("{:?}", secret('a')), "Secret(..)");
    let other = secret('a').derive("another purpose");
    assert_ne!(other, secret('a').derive("a purpose"));
}

/// A reply with a full chunk must fit into one packet even with the largest token.
#[test]
fn full_chunk_with_largest_token_fits_in_a_packet() {
    let ring = keyring('a', &[]);
    let answer = Answer::new(vec![0; u16::MAX.into()]);
    let reply = Reply::Chunk(Chunk {
        flow: FlowId(u64::MAX),
        seq: RequestSeq(u64::MAX),
        head: wire::AnswerHeader {
            len: u32::MAX,
            ..answer.head
        },
        index: u32::MAX,
        data: ByteBuf::from(answer.chunk(0).expect("the answer has a chunk")),
        granted: Some(IssuedToken {
            token: ring.seal(&largest_claims()),
            floor: RequestSeq(u64::MAX),
        }),
    });
    let len = wire::encode_reply(&reply).len();
    assert!(len <= MAX_PACKET_LEN, "the reply has {len} bytes");
}

/// The documentation for callers guarantees room for a body of 700 bytes, however long the names are.
#[test]
fn documented_body_size_fits_with_largest_token() {
    let largest = largest_claims();
    let packet = Packet::Request(wire::Request {
        token: keyring('a', &[]).seal(&largest),
        service: largest.service.clone(),
        seq: RequestSeq(u64::MAX),
        sent: RequestSeq(u64::MAX),
        kind: largest.service.as_str().parse().expect("a valid name"),
        timeout: Millis(u32::MAX),
        body: ByteBuf::from(vec![0; 700]),
    });
    let len = wire::encode_packet(&packet).len();
    assert!(len <= MAX_PACKET_LEN, "the packet has {len} bytes");
}
