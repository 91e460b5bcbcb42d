//! Calls to the cloud, which creates and removes machines, and its replies.

use crate::http::{OutgoingRequest, contains};
use crate::time::Micros;
use crate::wire::{
    self, ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, ScaleOutRequest,
    path,
};

/// Machines requested on one page of the list.
const MACHINES_PER_PAGE: usize = 500;
/// How long a reply may take.
const CALL_TIMEOUT: Micros = Micros::secs(5);
/// What the body of a refusal contains where the cloud has no such machines left.
const NO_CAPACITY_WORD: &[u8] = b"capacity";

/// A call to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudCall {
    /// Lists the machine types and their prices.
    ListMachineTypes,
    /// Creates machines. The same request under the same name creates them once.
    ScaleOut(ScaleOutRequest),
    /// Removes the machines of these names, with everything on them.
    ScaleIn(Vec<String>),
    /// Lists the machines, one page a call.
    ListMachines {
        /// The page begins after this name; at the beginning without one.
        after: Option<String>,
    },
}

/// What became of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    /// All machine types.
    MachineTypes(Vec<MachineType>),
    /// The names of the machines that were created; they may be fewer than requested.
    ScaledOut(Vec<String>),
    /// None of the requested machines are available.
    NoCapacity,
    /// The machines are gone.
    ScaledIn,
    /// A page of the machines.
    Machines {
        /// The machines, by name.
        machines: Vec<ListedMachine>,
        /// Another page follows.
        more: bool,
    },
    /// Surely not executed: refused, an outage, or never sent.
    NotExecuted,
    /// May have been executed, or may still be.
    Unknown,
}

impl CloudCall {
    /// How long its reply may take.
    pub fn timeout(&self) -> Micros {
        CALL_TIMEOUT
    }

    /// The HTTP request that it is sent as.
    pub fn encode(&self) -> OutgoingRequest {
        match self {
            CloudCall::ListMachineTypes => OutgoingRequest::get(path::TYPES.into()),
            CloudCall::ScaleOut(request) => OutgoingRequest::post(path::MACHINES.into(), request),
            CloudCall::ScaleIn(names) => {
                let names = MachineNames { machines: names.clone() };
                OutgoingRequest::post(path::RETURN.into(), &names)
            }
            CloudCall::ListMachines { after } => {
                let after = after.as_ref().map_or(String::new(), |name| format!("&after={name}"));
                OutgoingRequest::get(format!("{}?limit={MACHINES_PER_PAGE}{after}", path::MACHINES))
            }
        }
    }

    /// Reads the reply. What cannot be read counts as unknown.
    pub fn decode(&self, status: u16, body: &[u8]) -> CloudReply {
        fn read<T: serde::de::DeserializeOwned>(body: &[u8]) -> Option<T> {
            wire::read_answer("cloud", body)
        }
        match (status, self) {
            (200, CloudCall::ListMachineTypes) => read::<MachineTypes>(body)
                .map_or(CloudReply::Unknown, |list| CloudReply::MachineTypes(list.types)),
            (200, CloudCall::ScaleOut(_)) => read::<MachineNames>(body)
                .map_or(CloudReply::Unknown, |created| CloudReply::ScaledOut(created.machines)),
            (503, CloudCall::ScaleOut(_)) if contains(body, NO_CAPACITY_WORD) => {
                CloudReply::NoCapacity
            }
            (200, CloudCall::ScaleIn(_)) => CloudReply::ScaledIn,
            (200, CloudCall::ListMachines { .. }) => {
                read::<MachineList>(body).map_or(CloudReply::Unknown, |page| {
                    let MachineList { machines, more } = page;
                    CloudReply::Machines { machines, more }
                })
            }
            (400..=499 | 503, _) => CloudReply::NotExecuted,
            _ => CloudReply::Unknown,
        }
    }
}
