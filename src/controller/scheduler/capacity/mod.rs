//! The machines that tasks may be placed on, with their free resources, kept up to date
//! machine by machine.
//!
//! A placement tries machines in order of reserved tasks or of free CPUs. Both orders are
//! indexes here, so that a change costs the change and a placement does not walk all machines.
//! It must never read another component: all that it knows is given to it.

mod cluster;
mod index;
mod machine;
mod search;

pub use cluster::ClusterCapacity;
pub use index::{MachineId, PoolId, PoolKey};
pub use machine::{MachineCapacity, ReservedTask};
