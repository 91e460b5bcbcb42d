//! The cloud: its calls and its answers.

use crate::http::{OutgoingRequest, contains};
use crate::time::Micros;
use crate::wire::{
    self, ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, ScaleOutRequest,
    path,
};

/// Machines asked for at once.
const PAGE: usize = 500;
/// How long an answer may take.
const CALL_TIMEOUT: Micros = Micros::secs(5);
/// What the cloud says where there are no machines to rent.
const CAPACITY: &[u8] = b"capacity";

/// A call to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudCall {
    /// Machine types and prices.
    Types,
    /// Rent machines.
    ScaleOut(ScaleOutRequest),
    /// Return machines.
    ScaleIn(Vec<String>),
    /// A page of the list.
    List {
        /// Begin after this name.
        after: Option<String>,
    },
}

/// What became of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    /// The types.
    Types(Vec<MachineType>),
    /// The machines that were rented.
    ScaledOut(Vec<String>),
    /// None available.
    NoCapacity,
    /// The machines are gone.
    ScaledIn,
    /// A page of the list.
    Page {
        /// The machines.
        machines: Vec<ListedMachine>,
        /// Another page follows.
        more: bool,
    },
    /// Surely not executed: refused, an outage, or never sent.
    Refused,
    /// May have been executed, or may still be.
    Unknown,
}

impl CloudCall {
    /// How long an answer may take.
    pub fn timeout(&self) -> Micros {
        CALL_TIMEOUT
    }

    /// The request that it is sent as.
    pub fn encode(&self) -> OutgoingRequest {
        match self {
            CloudCall::Types => OutgoingRequest::get(path::TYPES.into()),
            CloudCall::ScaleOut(request) => OutgoingRequest::post(path::MACHINES.into(), request),
            CloudCall::ScaleIn(names) => {
                let names = MachineNames { machines: names.clone() };
                OutgoingRequest::post(path::RETURN.into(), &names)
            }
            CloudCall::List { after } => {
                let after = after.as_ref().map_or(String::new(), |name| format!("&after={name}"));
                OutgoingRequest::get(format!("{}?limit={PAGE}{after}", path::MACHINES))
            }
        }
    }

    /// Reads the answer. What cannot be read counts as unknown.
    pub fn decode(&self, status: u16, body: &[u8]) -> CloudReply {
        fn read<T: serde::de::DeserializeOwned>(body: &[u8]) -> Option<T> {
            wire::read_answer("cloud", body)
        }
        match (status, self) {
            (200, CloudCall::Types) => read::<MachineTypes>(body)
                .map_or(CloudReply::Unknown, |t| CloudReply::Types(t.types)),
            (200, CloudCall::ScaleOut(_)) => read::<MachineNames>(body)
                .map_or(CloudReply::Unknown, |m| CloudReply::ScaledOut(m.machines)),
            (503, CloudCall::ScaleOut(_)) if contains(body, CAPACITY) => CloudReply::NoCapacity,
            (200, CloudCall::ScaleIn(_)) => CloudReply::ScaledIn,
            (200, CloudCall::List { .. }) => {
                read::<MachineList>(body).map_or(CloudReply::Unknown, |l| CloudReply::Page {
                    machines: l.machines,
                    more: l.more,
                })
            }
            (400..=499 | 503, _) => CloudReply::Refused,
            _ => CloudReply::Unknown,
        }
    }
}
