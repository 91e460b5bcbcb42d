//! Machines' names as they are stored: those of a cloud differ mostly in a number.

/// A name as a beginning and a number that ends it: machines' names differ
/// mostly in the number. Only a number that reads back the same is split off.
pub(crate) fn split_name(name: &str) -> (&str, usize, u64) {
    let head = name.trim_end_matches(|c: char| c.is_ascii_digit());
    let width = name.len() - head.len();
    match name[head.len()..].parse() {
        Ok(number) if width <= 15 => (head, width, number),
        _ => (name, 0, 0),
    }
}

/// The name that was split so.
pub(crate) fn join_name(head: &str, width: usize, number: u64) -> String {
    if width == 0 { head.to_string() } else { format!("{head}{number:0width$}") }
}
