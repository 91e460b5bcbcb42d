//! Desired state: the tasks that each shard desires on each machine.
//!
//! `led_shards` computes and sends the desired state of the shards that this process leads,
//! from their stored jobs. `received` keeps the desired state of all shards, including the led
//! ones. A message contains all desired tasks of each machine that it names, so a later message
//! about a machine makes up for any number of lost ones. No task is desired before its
//! placement is stored; until then, a placement only reserves capacity.

pub(crate) mod led_shards;
pub(crate) mod received;
