//! Formats log lines: level, target and text, followed by `key=value` fields.

use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use std::io::{self, Write};

/// Writes each field of a record as ` key=value`.
struct Fields<'a, W: Write>(&'a mut W);

impl<'kvs, W: Write> VisitSource<'kvs> for Fields<'_, W> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}")?;
        Ok(())
    }
}

/// Writes a record as one line.
///
/// # Errors
///
/// Returns an error if writing to `out` fails.
pub fn write_line<W: Write>(out: &mut W, record: &Record<'_>) -> io::Result<()> {
    write!(out, "{} {}: {}", record.level(), record.target(), record.args())?;
    record.key_values().visit(&mut Fields(out)).map_err(io::Error::other)?;
    writeln!(out)
}
