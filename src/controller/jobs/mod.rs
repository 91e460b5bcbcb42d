//! TODO

pub mod batch;
pub mod dependencies;
pub mod job;
pub mod lifecycle;
pub mod record_pages;
pub mod stage_cache;
pub mod writer;
