//! Calls to the cloud, which creates and removes machines, and their outcomes.

use crate::http::{OutgoingRequest, contains};
use crate::time::Micros;
use crate::wire::{
    self, ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, ScaleOutRequest,
    path,
};

/// Maximum number of machines per page of the list.
const MACHINES_PER_PAGE: usize = 500;
/// How long the response to a call may take.
const CALL_TIMEOUT: Micros = Micros::secs(5);
/// Text that the body of a refused scale-out contains if the cloud has no such machines available.
const NO_CAPACITY_WORD: &[u8] = b"capacity";

/// A call to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudCall {
    /// Lists the machine types and their prices.
    ListMachineTypes,
    /// Creates machines. Retries with the same request name are idempotent: the machines are
    /// created once.
    ScaleOut(ScaleOutRequest),
    /// Removes the machines with these names, including everything that runs on them.
    ScaleIn(Vec<String>),
    /// Lists one page of the machines.
    ListMachines {
        /// The page begins after this machine name; at the first machine if absent.
        after: Option<String>,
    },
}

/// The outcome of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    /// All machine types.
    MachineTypes(Vec<MachineType>),
    /// The names of the created machines; there may be fewer than requested.
    ScaledOut(Vec<String>),
    /// None of the requested machines are available.
    NoCapacity,
    /// The machines were removed.
    ScaledIn,
    /// A page of the machines.
    Machines {
        /// The machines, ordered by name.
        machines: Vec<ListedMachine>,
        /// Another page follows.
        more: bool,
    },
    /// Definitely not executed: refused, unavailable, or not sent.
    NotExecuted,
    /// No readable response: the call may have been executed, or may still be.
    Unknown,
}

impl CloudCall {
    /// How long the response may take before the outcome counts as unknown.
    pub fn timeout(&self) -> Micros {
        CALL_TIMEOUT
    }

    /// Encodes the call as an HTTP request.
    pub fn encode(&self) -> OutgoingRequest {
        match self {
            CloudCall::ListMachineTypes => OutgoingRequest::get(path::TYPES.into()),
            CloudCall::ScaleOut(request) => OutgoingRequest::post(path::MACHINES.into(), request),
            CloudCall::ScaleIn(names) => {
                let names = MachineNames { machines: names.clone() };
                OutgoingRequest::post(path::SCALE_IN.into(), &names)
            }
            CloudCall::ListMachines { after } => {
                let after = after.as_ref().map_or(String::new(), |name| format!("&after={name}"));
                OutgoingRequest::get(format!("{}?limit={MACHINES_PER_PAGE}{after}", path::MACHINES))
            }
        }
    }

    /// Decodes the cloud's response. If it cannot be parsed, the outcome is unknown.
    pub fn decode(&self, status: u16, body: &[u8]) -> CloudReply {
        fn read<T: serde::de::DeserializeOwned>(body: &[u8]) -> Option<T> {
            wire::decode_response("cloud", body)
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
