//! What can be wrong with settings and options. The texts are what operators see.

use std::path::PathBuf;
use thiserror::Error;

/// A setting or option that cannot be used, in one line.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The file cannot be read.
    #[error("{}: {source}", .file.display())]
    Unreadable {
        /// The file.
        file: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// Something in a file is wrong.
    #[error("{}: {source}", .file.display())]
    InFile {
        /// The file.
        file: PathBuf,
        /// What is wrong.
        source: Box<ConfigError>,
    },
    /// The settings are not TOML, or a setting is missing or of the wrong type.
    #[error("line {line}, {text}: {message}")]
    Toml {
        /// Number of the line, from 1.
        line: usize,
        /// Its beginning.
        text: String,
        /// What the parser says.
        message: String,
    },
    /// The options are not INI.
    #[error(transparent)]
    Ini(#[from] ini::ParseError),
    /// A setting has a value that cannot be used.
    #[error("{key}: {problem}")]
    Setting {
        /// Its name with its tables.
        key: &'static str,
        /// What is wrong.
        problem: SettingProblem,
    },
    /// An option is unknown or has a value that cannot be used.
    #[error("[{section}] {key} = {value}: {problem}")]
    Option {
        /// Its section.
        section: String,
        /// Its name.
        key: String,
        /// Its value as written.
        value: String,
        /// What is wrong.
        problem: OptionProblem,
    },
}

/// What is wrong with the value of a setting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SettingProblem {
    /// Zero, negative or no number.
    #[error("must be a positive number")]
    NotPositive,
    /// Negative or no number.
    #[error("must not be negative")]
    Negative,
    /// Less than what the controller needs.
    #[error("must be at least {min}")]
    TooSmall {
        /// The least that is enough.
        min: usize,
    },
    /// A name is empty.
    #[error("is empty")]
    Empty,
    /// Members are told apart by their names.
    #[error("two members have the same name")]
    DuplicateMember,
    /// Teams are told apart by their names.
    #[error("two teams have the same name")]
    DuplicateTeam,
    /// A team has no name, or an amount that is negative or no number.
    #[error("a team needs a name and amounts from 0 up")]
    InvalidTeam,
}

/// What is wrong with an option.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum OptionProblem {
    /// No such option; a misspelt one must not keep its default silently.
    #[error("unknown option")]
    Unknown,
    /// No number, or one that is out of bounds.
    #[error("not a number in the allowed range")]
    OutOfRange,
    /// Steps must come in order.
    #[error("must be three rising numbers")]
    NotRising,
}
