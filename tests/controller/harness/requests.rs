//! Access to the stored keys, requests of users, and frames of peers.

use super::{
    Answer, Event, Frame, Harness, KeyValue, KvRequest, KvResponse, REQUEST_TIMEOUT, Ticket, Txn,
    Write,
};
use serde_json::Value;

impl Harness {
    /// Writes a key as another controller, or one that no longer exists, would.
    pub fn put(&mut self, key: &str, value: Value) {
        self.put_together([(key, value)]);
    }

    /// Writes keys in one transaction, so that they have the same revision.
    pub fn put_together<K: Into<String>>(&mut self, items: impl IntoIterator<Item = (K, Value)>) {
        let put = |(key, value): (K, Value)| Write::Put { key: key.into(), value, lease: None };
        self.write(items.into_iter().map(put).collect());
    }

    /// Deletes a key, as the store does when the lease that the key is attached to ends.
    pub fn delete(&mut self, key: &str) {
        self.write(vec![Write::Delete { key: key.into() }]);
    }

    fn write(&mut self, writes: Vec<Write>) {
        let txn = Txn { conditions: Vec::new(), writes };
        self.store.apply(self.now, &KvRequest::Txn(txn));
    }

    /// The stored value of a key and its revision, or `None` if there is no such key.
    pub fn get(&mut self, key: &str) -> Option<KeyValue> {
        match self.store.apply(self.now, &KvRequest::Get(key.into())) {
            KvResponse::Value(item) => item,
            other => panic!("reading {key:?}: {other:?}"),
        }
    }

    /// All stored keys with this prefix, with their values.
    pub fn list(&mut self, prefix: &str) -> Vec<KeyValue> {
        let mut all: Vec<KeyValue> = Vec::new();
        loop {
            let after = all.last().map(|i| i.key.clone());
            let call = KvRequest::List { prefix: prefix.into(), after, limit: 100 };
            let KvResponse::Page { items, more, .. } = self.store.apply(self.now, &call) else {
                panic!("listing {prefix:?} returns no page");
            };
            all.extend(items);
            if !more {
                return all;
            }
        }
    }

    /// Sends a request. Returns the ticket for [`Harness::answer`].
    pub fn send_request(&mut self, method: &str, path: &str, body: &[u8]) -> u64 {
        let ticket = self.requested_at.len() as u64 + 1;
        self.requested_at.insert(ticket, self.now);
        let event = Event::Http {
            ticket: Ticket(ticket),
            method: method.into(),
            path: path.into(),
            body: body.to_vec(),
        };
        self.handle_event(event);
        ticket
    }

    /// The answer to a request, or `None` if there is none yet.
    pub fn answer(&self, ticket: u64) -> Option<Answer> {
        self.answers.get(&ticket).cloned()
    }

    /// Sends a request and waits for its answer.
    pub fn request(&mut self, method: &str, path: &str, body: &[u8]) -> Answer {
        let ticket = self.send_request(method, path, body);
        let end = self.now + REQUEST_TIMEOUT;
        while self.now < end && self.answer(ticket).is_none() {
            self.step();
        }
        self.answer(ticket).unwrap_or_else(|| panic!("{method} {path} is not answered"))
    }

    /// Submits a job.
    pub fn submit(&mut self, body: &Value) -> Answer {
        self.request("POST", "/work", body.to_string().as_bytes())
    }

    /// Queries a job.
    pub fn poll(&mut self, id: &str) -> Answer {
        self.request("GET", &format!("/work/{id}"), b"")
    }

    /// Cancels a job.
    pub fn cancel(&mut self, id: &str) -> Answer {
        self.request("POST", &format!("/work/{id}/abort"), b"")
    }

    /// Delivers a frame from a peer to the controller.
    pub fn receive_frame(&mut self, from: usize, frame: Frame) {
        self.received_frames += 1;
        let member = format!("n{from}");
        let frame = Frame { member, frame_number: self.received_frames, ..frame };
        self.handle_event(Event::Peer { from, frame: Box::new(frame) });
    }

    /// Number of tasks that the controller has placed so far.
    pub fn placed_count(&self) -> u64 {
        self.controller.status(self.now)["counts"]["placed"].as_u64().unwrap_or_default()
    }

    /// Number of local jobs of the controller.
    pub fn job_count(&self) -> u64 {
        self.controller.status(self.now)["jobs"].as_u64().unwrap_or_default()
    }
}
