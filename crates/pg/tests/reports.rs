//! Errors of servers are decoded as far as they go.

use fulmarrill_pg::ErrorReport;

const WHOLE: &[u8] = b"E\0\0\0\x26SERROR\0C42P01\0Mno table\0Dnothing\0\0";

#[test]
fn error_that_ends_early_is_decoded_as_far_as_it_goes() {
    let whole = ErrorReport::from_message(WHOLE);
    assert_eq!(whole.code, "42P01");
    assert_eq!(whole.message, "no table");
    assert_eq!(whole.detail.as_deref(), Some("nothing"));
    for length in 0..WHOLE.len() {
        let cut = ErrorReport::from_message(&WHOLE[..length]);
        assert!(cut.code.is_empty() || cut.code == whole.code);
        assert!(cut.message.is_empty() || cut.message == whole.message);
    }
    // The length field agrees with the message, but the last field has no end.
    let open = ErrorReport::from_message(b"E\0\0\0\x0eC42P01\0Mno");
    assert_eq!(open.code, "42P01");
    let empty = ErrorReport::from_message(b"E\0\0\0\x04");
    assert_eq!(empty.code, "");
}
