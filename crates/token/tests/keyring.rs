//! What a keyring takes and what it refuses.

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
use wire::Granted;
use wire::MAX_PACKET_LEN;
use wire::Packet;
use wire::Reply;
use wire::Sealed;

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

/// The largest claims that names allow.
fn largest() -> Claims {
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

/// Checks what becomes of a token that one keyring sealed and another opens after some time.
fn check(sealing: &Keyring, opening: &Keyring, now: Time, expected: Result<(), TokenError>) {
    let sealed = sealing.seal(&claims());
    assert_eq!(opening.open(&sealed, now), expected.map(|()| claims()));
}

#[test]
fn keys() {
    let now = ISSUED;
    check(&keyring('a', &[]), &keyring('a', &[]), now, Ok(()));
    // While a key is rotated, some instances already seal with the new one and others still with the old one.
    check(&keyring('a', &[]), &keyring('b', &['a']), now, Ok(()));
    check(&keyring('b', &['a']), &keyring('a', &['b']), now, Ok(()));
    check(&keyring('a', &[]), &keyring('b', &[]), now, Err(TokenError::UnknownKey));
    check(
        &keyring('a', &[]),
        &keyring('b', &['c']),
        now,
        Err(TokenError::UnknownKey),
    );
}

#[test]
fn ages() {
    let ring = keyring('a', &[]);
    let minute = Duration::from_mins(1);
    check(&ring, &ring, ISSUED + LIFETIME, Ok(()));
    check(
        &ring,
        &ring,
        ISSUED + LIFETIME + Duration::from_micros(1),
        Err(TokenError::Expired),
    );
    // Clocks differ a little, but not by more than a minute.
    let ahead = Time(ISSUED.0 - u64::try_from(minute.as_micros()).expect("a minute is short"));
    check(&ring, &ring, ahead, Ok(()));
    check(&ring, &ring, Time(ahead.0 - 1), Err(TokenError::Expired));
}

#[test]
fn every_bit_counts() {
    let ring = keyring('a', &['b']);
    let sealed = ring.seal(&claims());
    for at in 0..sealed.0.len() {
        for bit in 0..8 {
            let mut bytes = sealed.0.to_vec();
            bytes[at] ^= 1 << bit;
            let opened = ring.open(&Sealed(ByteBuf::from(bytes)), ISSUED);
            // The first byte names the key.
            let expected = if at == 0 {
                TokenError::UnknownKey
            } else {
                TokenError::Forged
            };
            assert_eq!(opened, Err(expected), "bit {bit} of byte {at}");
        }
    }
}

#[test]
fn every_byte_counts() {
    let ring = keyring('a', &[]);
    let sealed = ring.seal(&claims());
    for len in 0..sealed.0.len() {
        let cut = Sealed(ByteBuf::from(&sealed.0[..len]));
        let expected = if len <= 16 {
            TokenError::Malformed
        } else {
            TokenError::Forged
        };
        assert_eq!(ring.open(&cut, ISSUED), Err(expected), "cut to {len} bytes");
    }
    let mut longer = sealed.0.to_vec();
    longer.push(0);
    let longer = Sealed(ByteBuf::from(longer));
    assert_eq!(ring.open(&longer, ISSUED), Err(TokenError::Forged));
}

/// A token of one deployment is worth nothing in another, and neither are the bytes of an unrelated hash.
#[test]
fn secrets() {
    assert_eq!("short".parse::<Secret>(), Err(SecretError));
    assert_eq!(format!("{:?}", secret('a')), "Secret(..)");
    let other = secret('a').derive("another purpose");
    assert_ne!(other, secret('a').derive("a purpose"));
}

/// The largest token still leaves room for a full chunk.
#[test]
fn a_full_chunk_fits() {
    let ring = keyring('a', &[]);
    let answer = Answer::new(vec![0; u16::MAX.into()]);
    let reply = Reply::Chunk(Chunk {
        flow: FlowId(u64::MAX),
        seq: RequestSeq(u64::MAX),
        head: wire::Head {
            len: u32::MAX,
            ..answer.head
        },
        index: u32::MAX,
        data: ByteBuf::from(answer.chunk(0).expect("the answer has a chunk")),
        granted: Some(Granted {
            token: ring.seal(&largest()),
            floor: RequestSeq(u64::MAX),
        }),
    });
    let len = wire::encode_reply(&reply).len();
    assert!(len <= MAX_PACKET_LEN, "the reply has {len} bytes");
}

/// The callers' page promises room for this many bytes of body, whatever the names.
#[test]
fn a_promised_body_fits() {
    let largest = largest();
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
