//! What the cloud offers, and what of it a task may use.

use crate::peer::Demand;
use crate::resources::Resources;
use crate::wire::ScaleOutRequest;
use std::rc::Rc;

/// A type of machine in a zone, as spot machine or not.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineOffer {
    /// Name of the type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Spot machines, which the cloud may reclaim.
    pub spot: bool,
}

impl MachineOffer {
    /// The offer that a request is for.
    pub(super) fn of_request(request: &ScaleOutRequest) -> MachineOffer {
        MachineOffer {
            machine_type: request.machine_type.clone(),
            zone: request.zone.clone(),
            spot: request.spot,
        }
    }
}

/// Free capacity of one machine.
#[derive(Debug, Clone, PartialEq)]
pub struct FreeCapacity {
    /// Name of its type.
    pub machine_type: Rc<str>,
    /// Its zone.
    pub zone: Rc<str>,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// What is free.
    pub free: Resources,
}

/// Whether tasks may go to machines of a type, zone and kind.
pub fn allows(demand: &Demand, machine_type: &str, zone: &str, spot: bool) -> bool {
    (demand.types.is_empty() || demand.types.iter().any(|allowed| allowed == machine_type))
        && demand.zone.as_deref().is_none_or(|allowed| allowed == zone)
        && (demand.spot || !spot)
}
