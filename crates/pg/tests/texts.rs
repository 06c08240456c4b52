//! Texts of callers are forwarded as they were sent, or refused.

use bytes::BytesMut;
use fulmarrill_pg::{decode_frontend, encode_frontend};
use pgwire::messages::PgWireFrontendMessage;

fn message(kind: u8, body: &[u8]) -> BytesMut {
    let mut bytes = BytesMut::from(&[kind][..]);
    let length = u32::try_from(body.len() + 4).unwrap();
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(body);
    bytes
}

fn is_refused(kind: u8, body: &[u8]) -> bool {
    decode_frontend(&mut message(kind, body)).is_err()
}

#[test]
fn text_with_a_nul_is_refused_and_not_cut() {
    assert!(is_refused(b'Q', b"DELETE FROM a\0 WHERE id = 1\0"));
    assert!(is_refused(b'P', b"s\0DELETE FROM a\0 WHERE id = 1\0\0\0"));
    assert!(is_refused(b'E', b"portal\0\0\0\0\0rest"));
}

#[test]
fn text_without_its_nul_is_refused() {
    assert!(is_refused(b'Q', b"SELECT 1"));
    assert!(is_refused(b'P', b"s\0SELECT 1"));
}

#[test]
fn message_that_ends_early_or_late_is_refused() {
    let whole = [
        (b'P', &b"s\0SELECT $1\0\0\x01\0\0\0\x17"[..]),
        (b'B', b"p\0s\0\0\x01\0\x01\0\x01\0\0\0\x02ab\0\x01\0\0"),
        (b'D', b"Ss\0"),
        (b'C', b"Ss\0"),
        (b'E', b"p\0\0\0\0\x05"),
        (b'S', b""),
    ];
    for (kind, body) in whole {
        assert!(!is_refused(kind, body));
        for length in 0..body.len() {
            assert!(is_refused(kind, &body[..length]), "{kind} {length}");
        }
        assert!(is_refused(kind, &[body, b"\0"].concat()), "{kind}");
    }
}

#[test]
fn text_that_is_not_utf_8_is_refused_and_not_altered() {
    assert!(is_refused(b'Q', b"SELECT '\xff'\0"));
    assert!(is_refused(b'P', b"s\0SELECT '\xc3'\0\0\0"));
}

#[test]
fn texts_with_control_characters_are_forwarded_as_they_are() {
    let text = "SELECT '\r\n\u{1}\u{7f}\u{85}\u{2028}\t\u{feff}é', '\u{10ffff}'\r\0";
    let bodies = [
        (b'Q', text.as_bytes().to_vec()),
        (b'Q', b"\0".to_vec()),
        (b'P', [b"\0", text.as_bytes(), b"\0\x01\0\0\0\x17"].concat()),
        (
            b'B',
            b"p\0s\0\0\x01\0\x01\0\x02\0\0\0\x02\0\xff\xff\xff\xff\xff\0\x01\0\0".to_vec(),
        ),
        (b'D', b"Ss\0".to_vec()),
        (b'D', b"P\0".to_vec()),
        (b'E', b"p\0\0\0\0\x05".to_vec()),
        (b'C', b"Ss\0".to_vec()),
        (b'H', Vec::new()),
        (b'S', Vec::new()),
        (b'X', Vec::new()),
    ];
    for (kind, body) in bodies {
        let sent = message(kind, &body);
        let decoded: PgWireFrontendMessage = decode_frontend(&mut sent.clone()).unwrap().unwrap();
        assert_eq!(encode_frontend(&[decoded]).unwrap(), sent);
    }
}
