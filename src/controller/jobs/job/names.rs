//! Machines' names as they are stored: those of a cloud differ mostly in a number.

/// Longest number, in digits, that is split off a name: it fits in 64 bits.
const MAX_NUMBER_DIGITS: usize = 15;

/// A machine's name as a beginning and a number that ends it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SplitName<'a> {
    pub(crate) head: &'a str,
    /// Digits of the number, with leading zeros; 0 if the name ends in no number.
    pub(crate) width: usize,
    pub(crate) number: u64,
}

/// Splits off the number at a name's end, if it reads back the same.
pub(crate) fn split_name(name: &str) -> SplitName<'_> {
    let head = name.trim_end_matches(|character: char| character.is_ascii_digit());
    let width = name.len() - head.len();
    match name[head.len()..].parse() {
        Ok(number) if width <= MAX_NUMBER_DIGITS => SplitName { head, width, number },
        _ => SplitName { head: name, width: 0, number: 0 },
    }
}

/// The name that was split so.
pub(crate) fn join_name(head: &str, width: usize, number: u64) -> String {
    if width == 0 { head.to_string() } else { format!("{head}{number:0width$}") }
}
