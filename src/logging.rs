//! The form of log lines: level, target and text, then `key=value` fields.

use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use std::io::{self, Write};

/// Writes the fields of a line, one after the other.
struct Fields<'a, W: Write>(&'a mut W);

impl<'kvs, W: Write> VisitSource<'kvs> for Fields<'_, W> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.0, " {key}={value}")?;
        Ok(())
    }
}

/// Writes one line of the log.
///
/// # Errors
///
/// Those of the writer.
pub fn write_line<W: Write>(out: &mut W, record: &Record<'_>) -> io::Result<()> {
    write!(out, "{} {}: {}", record.level(), record.target(), record.args())?;
    record.key_values().visit(&mut Fields(out)).map_err(io::Error::other)?;
    writeln!(out)
}
