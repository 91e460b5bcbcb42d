//! TODO

pub mod acquisition;
pub mod connectivity;
pub mod recovery;
pub mod shard;
pub mod watches;
