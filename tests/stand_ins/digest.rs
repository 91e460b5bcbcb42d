//! A digest of everything that the controllers of one run do, for refactorings.
//!
//! Runs repeat exactly, so a change that leaves behaviour as it is leaves the digest of
//! every run as it is. With `EFFECT_DIGEST` set to a path, each run appends one line to
//! that file when it ends; `.ci/effect-digest` collects them. Effects count with their
//! bytes as sent, their order and the simulated time. Call ids and log lines do not count.

use millethold::controller::{Controller, Effect};
use millethold::http::OutgoingRequest;
use millethold::peer::write_frame;
use millethold::time::Micros;
use std::fs::OpenOptions;
use std::io::Write;
use xxhash_rust::xxh3::Xxh3;

/// Names the file to which digests are appended.
const FILE_VARIABLE: &str = "EFFECT_DIGEST";
/// Between two looks at the status and queue pages, in events handled.
const EVENTS_PER_PAGE: u64 = 512;

/// Digest of the effects of one run's controllers.
pub struct EffectDigest {
    file: Option<std::ffi::OsString>,
    hasher: Xxh3,
    events: u64,
    effects: u64,
}

impl EffectDigest {
    /// Nothing has happened yet. Nothing is computed unless a digest was asked for.
    pub fn new() -> EffectDigest {
        let file = std::env::var_os(FILE_VARIABLE);
        EffectDigest { file, hasher: Xxh3::new(), events: 0, effects: 0 }
    }

    /// A controller has handled an event, with these effects.
    pub fn record(
        &mut self,
        now: Micros,
        node: usize,
        controller: &Controller,
        effects: &[Effect],
    ) {
        if self.file.is_none() {
            return;
        }
        for effect in effects {
            self.effects += 1;
            self.number(now.0);
            self.number(node as u64);
            self.effect(effect);
        }
        self.events += 1;
        if self.events.is_multiple_of(EVENTS_PER_PAGE) {
            self.bytes(controller.status(now).to_string().as_bytes());
            self.bytes(controller.queue_page(now).as_bytes());
        }
    }

    fn effect(&mut self, effect: &Effect) {
        match effect {
            Effect::Respond { ticket, status, retry_after, body } => {
                self.bytes(b"respond");
                self.number(ticket.0);
                self.number(u64::from(*status));
                self.number(retry_after.map_or(u64::MAX, |seconds| seconds));
                self.bytes(body);
            }
            Effect::KvStore { call, .. } => {
                self.bytes(b"state");
                self.request(&call.encode());
            }
            Effect::Cloud { call, .. } => {
                self.bytes(b"cloud");
                self.request(&call.encode());
            }
            Effect::Direct { address, body, .. } => {
                self.bytes(b"direct");
                self.bytes(address.to_string().as_bytes());
                self.bytes(body);
            }
            Effect::Inspect { address, .. } => {
                self.bytes(b"inspect");
                self.bytes(address.to_string().as_bytes());
            }
            Effect::Peer { to, frame } => {
                let mut encoded = Vec::new();
                write_frame(&mut encoded, frame);
                self.bytes(b"peer");
                self.number(*to as u64);
                self.bytes(&encoded);
            }
        }
    }

    fn request(&mut self, request: &OutgoingRequest) {
        self.bytes(request.method.as_bytes());
        self.bytes(request.path.as_bytes());
        self.bytes(request.body.as_deref().unwrap_or_default());
    }

    /// Bytes with their length, so that two fields never read as one.
    fn bytes(&mut self, bytes: &[u8]) {
        self.number(bytes.len() as u64);
        self.hasher.update(bytes);
    }

    fn number(&mut self, number: u64) {
        self.hasher.update(&number.to_le_bytes());
    }
}

impl Drop for EffectDigest {
    fn drop(&mut self) {
        let Some(file) = &self.file else {
            return;
        };
        let line = format!("{:032x} {}\n", self.hasher.digest128(), self.effects);
        let mut file = OpenOptions::new().create(true).append(true).open(file).expect("the file");
        // One write: tests run beside each other.
        file.write_all(line.as_bytes()).expect("the digest is written");
    }
}
