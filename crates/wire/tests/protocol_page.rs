//! The examples on the callers' page are what the codec reads and writes.

use std::fmt::Write;

use ciborium::Value;

/// One example of the page: the message as a reader sees it, and its bytes.
struct Example {
    title: String,
    notation: String,
    bytes: Vec<u8>,
}

/// Examples are blocks that open with ```` ```cbor packet ```` or ```` ```cbor reply ````: the message in CBOR's
/// diagnostic notation, an empty line, and its bytes in hexadecimal.
fn examples(page: &str, kind: &str) -> Vec<Example> {
    let fence = format!("```cbor {kind}\n");
    let blocks = page.split(&fence).skip(1);
    blocks.map(|block| example(block, kind)).collect()
}

fn example(block: &str, kind: &str) -> Example {
    let (text, _) = block.split_once("```").expect("every block is closed");
    let (notation, hex) = text.split_once("\n\n").expect("an empty line stands before the bytes");
    let hex: String = hex.split_whitespace().collect();
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("the bytes are hexadecimal");
    Example {
        title: format!("{kind} {}", notation.lines().nth(1).unwrap_or_default().trim()),
        notation: notation.to_owned(),
        bytes: (0..hex.len()).step_by(2).map(byte).collect(),
    }
}

/// Writes an item in CBOR's diagnostic notation.
fn notation(item: &Value, indent: usize, out: &mut String) {
    match item {
        Value::Integer(number) => write!(out, "{}", i128::from(*number)),
        Value::Text(text) => write!(out, "\"{text}\""),
        Value::Null => write!(out, "null"),
        Value::Bytes(bytes) => {
            out.push_str("h'");
            for byte in bytes {
                write!(out, "{byte:02x}").expect("a string takes every write");
            }
            write!(out, "'")
        }
        Value::Array(items) => {
            let mut texts = Vec::new();
            for item in items {
                let mut text = String::new();
                notation(item, indent, &mut text);
                texts.push(text);
            }
            write!(out, "[{}]", texts.join(", "))
        }
        Value::Map(pairs) => {
            out.push('{');
            for (at, (key, value)) in pairs.iter().enumerate() {
                let comma = if at == 0 { "" } else { "," };
                let key = key.as_text().expect("every key is a text");
                write!(out, "{comma}\n{:1$}\"{key}\": ", "", indent + 2).expect("a string takes every write");
                notation(value, indent + 2, out);
            }
            write!(out, "\n{:1$}}}", "", indent)
        }
        other => panic!("no message holds {other:?}"),
    }
    .expect("a string takes every write");
}

/// Checks that an example's two forms are the same, and that the codec writes what it reads.
fn check(example: &Example, reencoded: &[u8]) {
    let value: Value = ciborium::from_reader(example.bytes.as_slice()).expect("the bytes are CBOR");
    let mut text = String::new();
    notation(&value, 0, &mut text);
    assert_eq!(text, example.notation, "{}", example.title);
    assert_eq!(reencoded, example.bytes, "{}", example.title);
}

#[test]
fn protocol_examples_match_the_codec() {
    let page = include_str!("../../../docs/PROTOCOL.md");
    let packets = examples(page, "packet");
    let replies = examples(page, "reply");
    assert_eq!(
        (packets.len(), replies.len()),
        (5, 5),
        "every kind of message has an example"
    );
    for example in packets {
        let packet = wire::decode_packet(&example.bytes).unwrap_or_else(|error| panic!("{}: {error}", example.title));
        check(&example, &wire::encode_packet(&packet));
    }
    for example in replies {
        let reply = wire::decode_reply(&example.bytes).unwrap_or_else(|error| panic!("{}: {error}", example.title));
        check(&example, &wire::encode_reply(&reply));
    }
}

/// The sizes on the page are those of the code.
#[test]
fn protocol_limits_match_the_constants() {
    let page = include_str!("../../../docs/PROTOCOL.md");
    let sizes = [
        format!("| Datagram, either way | {} bytes |", wire::MAX_PACKET_LEN),
        format!("| Bytes of an answer in one chunk | {} |", wire::CHUNK_LEN),
        format!("| Chunks asked for by one `Pull` | {} |", wire::Pull::MAX_COUNT),
    ];
    for size in sizes {
        assert!(page.contains(&size), "the page lacks: {size}");
    }
}

/// Every reason is explained on the page.
#[test]
fn every_reason_is_documented() {
    let page = include_str!("../../../docs/PROTOCOL.md");
    for reason in wire::Reason::ALL {
        let row = format!("| `{reason:?}` |");
        assert!(page.contains(&row), "the page lacks: {row}");
    }
}
