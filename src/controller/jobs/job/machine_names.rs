//! Compact form of machines' names for storage: most names in a cloud differ only in a number.

/// Maximum number of digits that are split off a name, so that the number fits in 64 bits.
const MAX_NUMBER_DIGITS: usize = 15;

/// A machine's name, split into a prefix and the number at its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SplitName<'a> {
    pub(crate) prefix: &'a str,
    /// Number of digits, including leading zeros; 0 if no number is split off.
    pub(crate) width: usize,
    pub(crate) number: u64,
}

/// Splits off the number at the end of a name, unless it has more than
/// [`MAX_NUMBER_DIGITS`] digits. [`join_name`] restores the same name.
pub(crate) fn split_name(name: &str) -> SplitName<'_> {
    let prefix = name.trim_end_matches(|character: char| character.is_ascii_digit());
    let width = name.len() - prefix.len();
    match name[prefix.len()..].parse() {
        Ok(number) if width <= MAX_NUMBER_DIGITS => SplitName { prefix, width, number },
        _ => SplitName { prefix: name, width: 0, number: 0 },
    }
}

/// Restores the name that [`split_name`] split.
pub(crate) fn join_name(prefix: &str, width: usize, number: u64) -> String {
    if width == 0 { prefix.to_string() } else { format!("{prefix}{number:0width$}") }
}
