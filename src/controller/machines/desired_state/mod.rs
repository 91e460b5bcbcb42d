//! Which tasks every shard desires on which machines.
//!
//! `own_shards` computes it from the stored jobs of the shards that this process leads and
//! sends it; `received` keeps what came, that of own shards included. A message is whole for
//! each machine that it names, so any number of them may be lost. Nothing is desired before
//! it is stored.

pub(crate) mod own_shards;
pub(crate) mod received;
