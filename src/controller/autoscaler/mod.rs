//! TODO

pub mod cloud_calls;
pub mod planning;
