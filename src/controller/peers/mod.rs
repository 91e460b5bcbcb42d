//! TODO

pub mod frames;
