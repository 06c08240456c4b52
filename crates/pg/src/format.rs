//! Checks the fields of client messages before they are decoded.
//!
//! The decoder cuts a text at a zero byte, replaces what is not UTF-8, ignores
//! bytes after the last field, and panics if a message ends before it.

/// Size of a message header: type and length.
const HEADER_BYTES: usize = 5;

/// The fields of a message that were not read yet.
struct FieldReader<'a> {
    rest: &'a [u8],
}

impl FieldReader<'_> {
    fn skip(&mut self, count: usize) -> Option<()> {
        self.rest = self.rest.get(count..)?;
        Some(())
    }

    /// Reads a text and the zero byte that ends it.
    fn text(&mut self) -> Option<()> {
        let end = self.rest.iter().position(|byte| *byte == 0)?;
        std::str::from_utf8(&self.rest[..end]).ok()?;
        self.skip(end + 1)
    }

    fn count(&mut self) -> Option<usize> {
        let (bytes, rest) = self.rest.split_first_chunk()?;
        self.rest = rest;
        Some(u16::from_be_bytes(*bytes).into())
    }

    /// Reads a list of fields of `size` bytes each, after their number.
    fn list(&mut self, size: usize) -> Option<()> {
        let count = self.count()?;
        self.skip(count * size)
    }

    /// Reads a parameter value, which is NULL if its length is -1.
    fn value(&mut self) -> Option<()> {
        let (bytes, rest) = self.rest.split_first_chunk()?;
        self.rest = rest;
        match i32::from_be_bytes(*bytes) {
            -1 => Some(()),
            length => self.skip(usize::try_from(length).ok()?),
        }
    }
}

/// Whether a whole message of a client has the fields of its type and nothing else.
/// Types that carry arbitrary bytes, and unknown ones, are left to the decoder.
pub(crate) fn is_well_formed(message: &[u8]) -> bool {
    let Some((header, rest)) = message.split_at_checked(HEADER_BYTES) else {
        return false;
    };
    let mut fields = FieldReader { rest };
    read_fields(header[0], &mut fields).is_some() && fields.rest.is_empty()
}

fn read_fields(kind: u8, fields: &mut FieldReader<'_>) -> Option<()> {
    match kind {
        b'Q' | b'f' => fields.text(),
        b'P' => {
            fields.text()?;
            fields.text()?;
            fields.list(size_of::<u32>())
        }
        b'B' => {
            fields.text()?;
            fields.text()?;
            fields.list(size_of::<u16>())?;
            for _ in 0..fields.count()? {
                fields.value()?;
            }
            fields.list(size_of::<u16>())
        }
        b'C' | b'D' => {
            fields.skip(1)?;
            fields.text()
        }
        b'E' => {
            fields.text()?;
            fields.skip(size_of::<u32>())
        }
        b'H' | b'S' | b'X' | b'c' => Some(()),
        _ => fields.skip(fields.rest.len()),
    }
}
