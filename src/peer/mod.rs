//! Messages between controllers, sent as length-prefixed `prost` frames.
//!
//! Each value replaces the earlier value for the same subject, so the next frame makes up for a
//! lost one and no frame needs a reply. Frames are numbered: a receiver that sees a gap requests
//! a full sync. Tags and types of fields never change, since controllers of different versions
//! exchange frames during an upgrade.
//!
//! - `frame`: the message with all its fields;
//! - `desired_state`: the tasks that a shard desires on each machine;
//! - `views`: the observed state of machines and their tasks;
//! - `demand`: progress of jobs, pending tasks, missing quota and preemptions;
//! - `shards`: shard leadership, addresses of machines and misdirected heartbeats;
//! - `encoding`: the bytes on a connection.

mod demand;
mod desired_state;
mod encoding;
mod frame;
mod shards;
mod views;

pub use demand::{Demand, InheritedUrgency, PreemptionRequest, Progress, QuotaDemand};
pub use desired_state::{
    DesiredStateError, DesiredStateMessage, DesiredTask, DesiredTaskMessage, DesiredUpdate,
    MachineDesired, MachineDesiredMessage, Phase, Shape,
};
pub use encoding::{FrameError, MAX_FRAME_BYTES, ReadFrame, read_frame, write_frame};
pub use frame::{FORMAT, FORMAT_WITH_RAISED_FENCING_TOKENS, Frame};
pub use shards::{AddressHint, MisdirectedHeartbeats, ShardClaim};
pub use views::{AppliedUpdate, MachineView, ObservedState, ObservedTask};
