//! Errors in settings and options. Operators see their texts.

use std::path::PathBuf;
use thiserror::Error;

/// Why settings or options cannot be used. Each error is displayed as one line.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A file cannot be read.
    #[error("{}: {source}", .file.display())]
    Unreadable {
        /// Path of the file.
        file: PathBuf,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The content of a file is invalid.
    #[error("{}: {source}", .file.display())]
    InFile {
        /// Path of the file.
        file: PathBuf,
        /// Error in the content.
        source: Box<ConfigError>,
    },
    /// The settings are not valid TOML, or a setting is missing or of the wrong type.
    #[error("line {line}, {text}: {message}")]
    Toml {
        /// Number of the line, starting at 1.
        line: usize,
        /// Beginning of the line.
        text: String,
        /// Message of the parser.
        message: String,
    },
    /// The options are not valid INI.
    #[error(transparent)]
    Ini(#[from] ini::ParseError),
    /// A setting has an invalid value. The problem includes the value.
    #[error("{key}: {problem}")]
    Setting {
        /// Key of the setting, including its tables.
        key: &'static str,
        /// Problem with the value.
        problem: SettingProblem,
    },
    /// An option is unknown or has an invalid value.
    #[error("[{section}] {key} = {value}: {problem}")]
    Option {
        /// Section of the option; empty outside of all sections.
        section: String,
        /// Key of the option.
        key: String,
        /// Value as written in the file.
        value: String,
        /// Problem with the key or the value.
        problem: OptionProblem,
    },
}

/// Problem with the value of a setting.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum SettingProblem {
    /// The value is zero, negative, infinite or not a number.
    #[error("must be a positive number, but is {value}")]
    NotPositive {
        /// Value in the file.
        value: f64,
    },
    /// The value is negative, infinite or not a number.
    #[error("must not be negative or infinite, but is {value}")]
    Negative {
        /// Value in the file.
        value: f64,
    },
    /// The value is less than the controller needs.
    #[error("must be at least {min}, but is {value}")]
    TooSmall {
        /// Value in the file.
        value: usize,
        /// Smallest allowed value.
        min: usize,
    },
    /// A name is empty.
    #[error("must not be empty")]
    Empty,
    /// Two members have the same name. Members are identified by their names.
    #[error("two members have the same name: {name:?}")]
    DuplicateMember {
        /// Name that occurs twice.
        name: String,
    },
    /// Two teams have the same name. Teams are identified by their names.
    #[error("two teams have the same name: {name:?}")]
    DuplicateTeam {
        /// Name that occurs twice.
        name: String,
    },
    /// A team has no name, or an amount that is negative, infinite or not a number.
    #[error("team {name:?}: every team needs a name and finite amounts that are not negative")]
    InvalidTeam {
        /// Name of the team; may be empty.
        name: String,
    },
}

/// Problem with an option.
#[derive(Debug, Clone, Copy, PartialEq, Error)]
pub enum OptionProblem {
    /// The option does not exist. Unknown options are errors, so that a misspelt one does not
    /// silently keep its default.
    #[error("unknown option")]
    Unknown,
    /// The value is not a number, or is out of range.
    #[error("not a number in the allowed range, {min} to {max}")]
    OutOfRange {
        /// Smallest allowed value.
        min: f64,
        /// Largest allowed value.
        max: f64,
    },
    /// The value is not three numbers, or one of them is smaller than the one before it.
    #[error("must be three numbers in ascending order")]
    NotAscending,
}
