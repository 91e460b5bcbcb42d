//! The capacity index: machines that tasks may be placed on, with their free resources.
//!
//! A placement tries machines in order of reserved tasks or of free CPUs. Both orders are kept
//! as indexes, so that a change costs work for the changed machine only, and a placement does
//! not walk all machines. The index never reads another component: its caller passes in all
//! data.

mod cluster;
mod index;
mod machine;
mod search;

pub use cluster::ClusterCapacity;
pub use index::{MachineId, PoolId, PoolKey};
pub use machine::{MachineCapacity, ReservedTask};
