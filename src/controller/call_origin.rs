//! The moment at which a call to the key-value store was sent, by which the age of its reply is judged.

use crate::time::Micros;

/// Counts the starts of a watch.
///
/// A watch delivers only changes after the revision from which it started. The reply to a call that
/// was sent under an earlier generation may be older than that revision, and what has changed in
/// between is never delivered.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WatchGeneration(u64);

impl WatchGeneration {
    /// Counts another start.
    pub(crate) fn advance(&mut self) {
        self.0 += 1;
    }
}

/// When a call was sent.
///
/// The store evaluates the call at some later moment, but the reply is only certain to include the
/// changes that were made before the call was sent.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CallOrigin {
    /// Time from which the age of the reply is counted: see
    /// [`Controller::is_fresh`](super::Controller::is_fresh).
    pub(crate) sent_at: Micros,
    /// Generation of the watch of jobs: see
    /// [`Leadership::is_outdated`](super::leadership::Leadership::is_outdated).
    pub(crate) generation: WatchGeneration,
}
