//! Replies of the cloud that arrive while the controller lease is not valid.

use crate::harness::{Harness, Outcome, submission};
use millethold::cloud::CloudCall;
use millethold::time::Micros;

/// Longer than the controller lease.
const LEASE_EXPIRY: Micros = Micros::secs(11);

/// Guards against a fleet that never grows again, or is never listed again. The reply to a request
/// arrives during an outage of the key-value store, while the controller lease is not valid; the
/// leadership goes on afterwards under the same term, so nothing else ends the request.
#[test]
fn the_fleet_is_scaled_after_replies_without_a_lease() {
    let mut harness = Harness::ready("", &[]);
    harness.boot_rented_machines = true;
    harness.run(Micros::secs(5));
    harness.hold_cloud_replies = true;
    assert_eq!(harness.submit(&submission("j-1")).status, 201);
    harness.run(Micros::secs(5));
    harness.outcome = Box::new(|_| Outcome::Refused);
    harness.watches_hang = true;
    harness.run(LEASE_EXPIRY);
    assert!(!harness.holds_lease());
    harness.hold_cloud_replies = false;
    assert_eq!(harness.deliver_cloud_replies(), 2, "a scale-out request and a list");
    harness.end_outage();
    harness.watches_hang = false;
    harness.outcome = Box::new(|_| Outcome::Served);
    harness.run(Micros::secs(2));

    // More tasks than the machines take that were rented before.
    let before = harness.cloud_calls.len();
    let mut large = submission("j-2");
    large["planks"] = 12.into();
    assert_eq!(harness.submit(&large).status, 201);
    harness.run(Micros::secs(10));
    let since = &harness.cloud_calls[before..];
    let scale_outs = since.iter().filter(|call| matches!(call, CloudCall::ScaleOut(_))).count();
    let lists = since.iter().filter(|c| matches!(c, CloudCall::ListMachines { .. })).count();
    assert!(scale_outs > 0 && lists > 0, "{scale_outs} scale-out requests, {lists} lists");
}
