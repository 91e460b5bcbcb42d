//! TODO

pub mod sharing;
pub mod team_quota;
