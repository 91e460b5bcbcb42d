//! What controllers send each other, as length-prefixed `prost` frames.
//!
//! Everything here is whole-state: a lost frame is made good by the next one
//! about the same thing, so nothing needs an answer. A gap in a sender's frames is
//! known by their numbers, and everything is requested anew. Tags and types of fields never
//! change, since controllers of different versions talk to each other during an upgrade.
//!
//! - `frame`: one message, with all that it may hold;
//! - `desired_state`: what a shard desires on machines;
//! - `views`: how machines and their tasks stand, the observed state;
//! - `demand`: what waits, and what it lacks;
//! - `shards`: who leads what, and whose heartbeats came to whom;
//! - `encoding`: the bytes on a connection.

mod demand;
mod desired_state;
mod encoding;
mod frame;
mod shards;
mod views;

pub use demand::{Demand, InheritedUrgency, Preempt, Progress, QuotaDemand};
pub use desired_state::{
    DesiredStateError, DesiredStateMessage, DesiredTask, DesiredTaskMessage, DesiredUpdate,
    MachineDesired, MachineDesiredMessage, Phase, Shape,
};
pub use encoding::{FrameError, MAX_FRAME_BYTES, ReadFrame, read_frame, write_frame};
pub use frame::{FORMAT, Frame};
pub use shards::{AddressHint, MisdirectedHeartbeats, ShardClaim};
pub use views::{AppliedUpdate, MachineView, ObservedState, ObservedTask};
