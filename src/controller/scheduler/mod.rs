//! TODO

pub mod capacity;
pub mod capacity_updates;
pub mod demand;
pub mod estimate;
pub mod image;
pub mod image_locality;
pub mod large_tasks;
pub mod preemption;
pub mod scheduling_pass;
pub mod task_placement;
