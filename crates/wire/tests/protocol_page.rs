//! Checks the examples, limits and refusal reasons in `docs/PROTOCOL.md` against the codec.

use std::fmt::Write;

use ciborium::Value;

/// An example from the page: the message in diagnostic notation, and its encoding.
struct Example {
    title: String,
    notation: String,
    bytes: Vec<u8>,
}

/// Extracts the examples of one kind. An example is a code block that starts with ```` ```cbor packet ```` or
/// ```` ```cbor reply ```` and contains the message in CBOR diagnostic notation, an empty line, and its encoding in
/// hexadecimal.
fn examples(page: &str, kind: &str) -> Vec<Example> {
    let fence = format!("```cbor {kind}\n");
    let blocks = page.split(&fence).skip(1);
    blocks.map(|block| example(block, kind)).collect()
}

fn example(block: &str, kind: &str) -> Example {
    let (text, _) = block.split_once("```").expect("unterminated code block");
    let (notation, hex) = text
        .split_once("\n\n")
        .expect("missing empty line before the hexadecimal bytes");
    let hex: String = hex.split_whitespace().collect();
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("invalid hexadecimal byte");
    Example {
        title: format!("{kind} {}", notation.lines().nth(1).unwrap_or_default().trim()),
        notation: notation.to_owned(),
        bytes: (0..hex.len()).step_by(2).map(byte).collect(),
    }
}

/// Formats an item in CBOR diagnostic notation.
fn notation(item: &Value, indent: usize, out: &mut String) {
    match item {
        Value::Integer(number) => write!(out, "{}", i128::from(*number)),
        Value::Text(text) => write!(out, "\"{text}\""),
        Value::Null => write!(out, "null"),
        Value::Bytes(bytes) => {
            out.push_str("h'");
            for byte in bytes {
                write!(out, "{byte:02x}").expect("writing to a String cannot fail");
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
                let key = key.as_text().expect("map key is not a text string");
                write!(out, "{comma}\n{:1$}\"{key}\": ", "", indent + 2).expect("writing to a String cannot fail");
                notation(value, indent + 2, out);
            }
            write!(out, "\n{:1$}}}", "", indent)
        }
        other => panic!("unexpected CBOR item in a message: {other:?}"),
    }
    .expect("writing to a String cannot fail");
}

/// Checks that the notation of an example matches its bytes, and that reencoding yields the same bytes.
fn check(example: &Example, reencoded: &[u8]) {
    let value: Value = ciborium::from_reader(example.bytes.as_slice()).expect("invalid CBOR");
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
        "number of examples differs from the number of message kinds"
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

#[test]
fn protocol_limits_match_the_constants() {
    let page = include_str!("../../../docs/PROTOCOL.md");
    let sizes = [
        format!("| Datagram, either way | {} bytes |", wire::MAX_PACKET_LEN),
        format!("| Bytes of an answer in one chunk | {} |", wire::CHUNK_LEN),
        format!("| Chunks asked for by one `Pull` | {} |", wire::Pull::MAX_COUNT),
    ];
    for size in sizes {
        assert!(page.contains(&size), "missing from the page: {size}");
    }
}

#[test]
fn every_reason_is_documented() {
    let page = include_str!("../../../docs/PROTOCOL.md");
    for reason in wire::Reason::ALL {
        let row = format!("| `{reason:?}` |");
        assert!(page.contains(&row), "missing from the page: {row}");
    }
}
