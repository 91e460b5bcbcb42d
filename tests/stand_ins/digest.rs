//! Digest of all effects that the controllers of one test run produce. A refactoring that
//! changes no behavior leaves it unchanged.
//!
//! Runs are deterministic, so the digest of each run changes only if behavior changes. If
//! `EFFECT_DIGEST` is set to a path, each run appends one line to that file when it ends;
//! `.ci/effect-digest` collects the lines. The digest covers the bytes of each effect as sent,
//! the order of the effects, the simulated time and samples of the status and queue pages, but
//! neither call ids nor log lines.

use millethold::controller::{Controller, Effect};
use millethold::http::OutgoingRequest;
use millethold::peer::write_frame;
use millethold::time::Micros;
use std::fs::OpenOptions;
use std::io::Write;
use xxhash_rust::xxh3::Xxh3;

/// Environment variable with the path of the file to which digests are appended.
const FILE_VARIABLE: &str = "EFFECT_DIGEST";
/// Number of handled events between samples of the status and queue pages.
const EVENTS_PER_PAGE_SAMPLE: u64 = 512;

/// Digest of the effects of all controllers of one run.
pub struct EffectDigest {
    file: Option<std::ffi::OsString>,
    hasher: Xxh3,
    events: u64,
    effects: u64,
}

impl EffectDigest {
    /// Creates the digest of no effects. It stays empty unless `EFFECT_DIGEST` is set.
    pub fn new() -> EffectDigest {
        let file = std::env::var_os(FILE_VARIABLE);
        EffectDigest { file, hasher: Xxh3::new(), events: 0, effects: 0 }
    }

    /// Adds the effects that an event has caused in the controller with this number.
    pub fn record(
        &mut self,
        now: Micros,
        number: usize,
        controller: &Controller,
        effects: &[Effect],
    ) {
        if self.file.is_none() {
            return;
        }
        for effect in effects {
            self.effects += 1;
            self.hash_number(now.0);
            self.hash_number(number as u64);
            self.hash_effect(effect);
        }
        self.events += 1;
        if self.events.is_multiple_of(EVENTS_PER_PAGE_SAMPLE) {
            self.hash_bytes(controller.status(now).to_string().as_bytes());
            self.hash_bytes(controller.queue_page(now).as_bytes());
        }
    }

    fn hash_effect(&mut self, effect: &Effect) {
        match effect {
            Effect::Respond { ticket, status, retry_after, body } => {
                self.hash_bytes(b"respond");
                self.hash_number(ticket.0);
                self.hash_number(u64::from(*status));
                self.hash_number(retry_after.map_or(u64::MAX, |seconds| seconds));
                self.hash_bytes(body);
            }
            Effect::KvStore { call, .. } => {
                self.hash_bytes(b"state");
                self.hash_request(&call.encode());
            }
            Effect::Cloud { call, .. } => {
                self.hash_bytes(b"cloud");
                self.hash_request(&call.encode());
            }
            Effect::Direct { address, body, .. } => {
                self.hash_bytes(b"direct");
                self.hash_bytes(address.to_string().as_bytes());
                self.hash_bytes(body);
            }
            Effect::Inspect { address, .. } => {
                self.hash_bytes(b"inspect");
                self.hash_bytes(address.to_string().as_bytes());
            }
            Effect::Peer { to, frame } => {
                let mut encoded = Vec::new();
                write_frame(&mut encoded, frame);
                self.hash_bytes(b"peer");
                self.hash_number(*to as u64);
                self.hash_bytes(&encoded);
            }
        }
    }

    fn hash_request(&mut self, request: &OutgoingRequest) {
        self.hash_bytes(request.method.as_bytes());
        self.hash_bytes(request.path.as_bytes());
        self.hash_bytes(request.body.as_deref().unwrap_or_default());
    }

    /// Hashes bytes after their length, so that adjacent fields cannot be confused.
    fn hash_bytes(&mut self, bytes: &[u8]) {
        self.hash_number(bytes.len() as u64);
        self.hasher.update(bytes);
    }

    fn hash_number(&mut self, number: u64) {
        self.hasher.update(&number.to_le_bytes());
    }
}

impl Drop for EffectDigest {
    fn drop(&mut self) {
        let Some(file) = &self.file else {
            return;
        };
        let line = format!("{:032x} {}\n", self.hasher.digest128(), self.effects);
        let mut file = OpenOptions::new()
            .create(true)
            .append(true)
            .open(file)
            .expect("the EFFECT_DIGEST file can be opened");
        // A single write, since tests run in parallel and append to the same file.
        file.write_all(line.as_bytes()).expect("the digest is written");
    }
}
