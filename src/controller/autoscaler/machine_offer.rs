//! Offers of the cloud, and which of them a task may use.

use crate::peer::Demand;
use crate::resources::Resources;
use crate::wire::ScaleOutRequest;
use std::rc::Rc;

/// A machine type in a zone, as a spot machine or not.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct MachineOffer {
    /// Name of the machine type.
    pub machine_type: String,
    /// Name of the zone.
    pub zone: String,
    /// Whether machines are spot machines, which the cloud may reclaim.
    pub spot: bool,
}

impl MachineOffer {
    /// The offer that a scale-out request is for.
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
    /// Name of the machine type.
    pub machine_type: Rc<str>,
    /// Name of the zone.
    pub zone: Rc<str>,
    /// Whether the machine is a spot machine.
    pub spot: bool,
    /// Resources that no task uses.
    pub free: Resources,
}

/// Whether the tasks of `demand` may run on machines of this type and zone; `spot` says whether
/// they are spot machines.
pub fn demand_allows(demand: &Demand, machine_type: &str, zone: &str, spot: bool) -> bool {
    (demand.types.is_empty() || demand.types.iter().any(|allowed| allowed == machine_type))
        && demand.zone.as_deref().is_none_or(|allowed| allowed == zone)
        && (demand.spot || !spot)
}
