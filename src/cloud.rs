//! The cloud: its calls and its answers.

use crate::time::Micros;
use crate::wire::{
    self, ListedMachine, MachineList, MachineNames, MachineType, MachineTypes, RentRequest, path,
};

/// A call to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudCall {
    /// Machine types and prices.
    Types,
    /// Rent machines.
    Rent(RentRequest),
    /// Return machines.
    Return(Vec<String>),
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
    Rented(Vec<String>),
    /// None available.
    NoCapacity,
    /// The machines are gone.
    Returned,
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
        Micros::secs(5)
    }

    /// Method, path and body.
    pub fn encode(&self) -> (&'static str, String, Option<Vec<u8>>) {
        match self {
            CloudCall::Types => ("GET", path::TYPES.into(), None),
            CloudCall::Rent(r) => {
                ("POST", path::MACHINES.into(), Some(serde_json::to_vec(r).unwrap_or_default()))
            }
            CloudCall::Return(names) => {
                let body = MachineNames { machines: names.clone() };
                ("POST", path::RETURN.into(), Some(serde_json::to_vec(&body).unwrap_or_default()))
            }
            CloudCall::List { after } => {
                let mut p = path::MACHINES.to_string();
                p.push_str("?limit=500");
                if let Some(a) = after {
                    p.push_str("&after=");
                    p.push_str(a);
                }
                ("GET", p, None)
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
            (200, CloudCall::Rent(_)) => read::<MachineNames>(body)
                .map_or(CloudReply::Unknown, |m| CloudReply::Rented(m.machines)),
            (503, CloudCall::Rent(_)) if body.windows(8).any(|w| w == b"capacity") => {
                CloudReply::NoCapacity
            }
            (200, CloudCall::Return(_)) => CloudReply::Returned,
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
