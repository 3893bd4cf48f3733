//! Tests of the decoder of messages between processes with odd bodies.

use serde::Deserialize;
use serde::Serialize;

use nutmegwalk_net::decode;
use nutmegwalk_net::encode;

/// Nesting that overflows the stack of a decoder that recurses without a limit.
const DEEP_NESTING: usize = 1_000_000;

/// Array of one element, and map of one entry with the key "a".
const ARRAY: &[u8] = &[0x91];
const MAP: &[u8] = &[0x81, 0xa1, b'a'];
const NIL: u8 = 0xc0;

#[derive(Debug, Deserialize, Eq, PartialEq, Serialize)]
struct Sample {
    count: u64,
    small: u32,
    list: Vec<u32>,
    text: Box<str>,
}

fn nested(level: &[u8], levels: usize) -> Vec<u8> {
    let mut body = level.repeat(levels);
    body.push(NIL);
    body
}

/// Returns a map of one entry.
fn entry(key: &str, value: &[u8]) -> Vec<u8> {
    let mut body = vec![0x81, 0xa0 | u8::try_from(key.len()).expect("a short key")];
    body.extend_from_slice(key.as_bytes());
    body.extend_from_slice(value);
    body
}

/// Defines tests of bodies that must be rejected, on a thread with the default stack.
macro_rules! rejected {
    ($($name:ident => $body:expr;)*) => {
        $(#[rstest::rstest] fn $name() {
            let body: Vec<u8> = $body;
            assert!(decode::<Sample>(&body).is_err());
        })*
    };
}

// Guards against an odd message that ends the process that decodes it.
rejected! {
    empty_body => Vec::new();
    nested_arrays => nested(ARRAY, DEEP_NESTING);
    nested_maps => nested(MAP, DEEP_NESTING);
    nested_arrays_without_an_end => ARRAY.repeat(DEEP_NESTING);
    nested_arrays_in_a_number => entry("count", &nested(ARRAY, DEEP_NESTING));
    nested_arrays_in_a_list => entry("list", &nested(ARRAY, DEEP_NESTING));
    nested_maps_in_a_text => entry("text", &nested(MAP, DEEP_NESTING));
    nested_arrays_in_an_unknown_field => entry("new", &nested(ARRAY, DEEP_NESTING));
    nested_maps_in_an_unknown_field => entry("new", &nested(MAP, DEEP_NESTING));
    list_of_four_billion => entry("list", &[0xdd, 0xff, 0xff, 0xff, 0xff]);
    text_of_four_billion => entry("text", &[0xdb, 0xff, 0xff, 0xff, 0xff]);
    map_of_four_billion => vec![0xdf, 0xff, 0xff, 0xff, 0xff];
    text_that_is_not_utf_8 => entry("text", &[0xa1, 0xff]);
    negative_number => entry("count", &[0xff]);
    number_beyond_32_bits => entry("small", &[0xcf, 0, 0, 0, 1, 0, 0, 0, 0]);
    fraction => entry("count", &[0xcb, 0x3f, 0xf8, 0, 0, 0, 0, 0, 0]);
    not_a_number => entry("count", &[0xcb, 0x7f, 0xf8, 0, 0, 0, 0, 0, 0]);
    missing_fields => entry("count", &[1]);
    reserved_byte => vec![0xc1];
    truncated => {
        let sample = Sample { count: 1, small: 2, list: vec![3], text: "four".into() };
        let body = encode(&sample).expect("a body");
        body[..body.len() - 1].to_vec()
    };
}
