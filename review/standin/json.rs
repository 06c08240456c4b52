//! Just enough JSON for the stand-ins: finds fields of objects as raw text.

/// Length of the JSON value at the start of `text`, which has no leading space.
fn value_length(text: &str) -> Option<usize> {
    let bytes = text.as_bytes();
    let first = *bytes.first()?;
    if first == b'"' {
        let mut index = 1;
        while index < bytes.len() {
            match bytes[index] {
                b'\\' => index += 2,
                b'"' => return Some(index + 1),
                _ => index += 1,
            }
        }
        return None;
    }
    if first == b'{' || first == b'[' {
        let (mut depth, mut index) = (0, 0);
        while index < bytes.len() {
            match bytes[index] {
                b'"' => index += value_length(&text[index..])? - 1,
                b'{' | b'[' => depth += 1,
                b'}' | b']' => {
                    depth -= 1;
                    if depth == 0 {
                        return Some(index + 1);
                    }
                }
                _ => {}
            }
            index += 1;
        }
        return None;
    }
    let end = text.find([',', '}', ']', ' ', '\n', '\r', '\t']);
    Some(end.unwrap_or(text.len()))
}

/// The raw text of a field of the object `text`.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let mut rest = text.trim_start().strip_prefix('{')?;
    loop {
        rest = rest.trim_start().trim_start_matches(',').trim_start();
        if !rest.starts_with('"') {
            return None;
        }
        let key_length = value_length(rest)?;
        let key = &rest[1..key_length - 1];
        rest = rest[key_length..]
            .trim_start()
            .strip_prefix(':')?
            .trim_start();
        let length = value_length(rest)?;
        if key == name {
            return Some(&rest[..length]);
        }
        rest = &rest[length..];
    }
}

/// A field that holds a string without escapes.
pub fn text_field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    field(text, name)?.strip_prefix('"')?.strip_suffix('"')
}

/// A field that holds a whole number.
pub fn number_field(text: &str, name: &str) -> Option<u64> {
    field(text, name)?.parse().ok()
}
