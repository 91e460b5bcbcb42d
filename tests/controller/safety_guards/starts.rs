//! Starts that may still arrive.

use crate::harness::{Harness, body};
use millethold::time::Micros;

/// A direct start that is on its way for longer than anybody waits: once its job is called
/// off its worker refuses it, and goes on with all else.
#[test]
fn late_start_of_a_cancelled_job() {
    // The job is called off, whether the start is refused when it comes.
    for (called_off, refused) in [(true, true), (false, false)] {
        let mut harness = Harness::ready("", &[]);
        harness.add_machine();
        harness.run(Micros::secs(5));
        harness.holds_starts = true;
        assert_eq!(harness.submit(&body("j-1")).status, 201);
        if called_off {
            assert_eq!(harness.abort("j-1").said(), (200, "cancelled"));
        }
        // Its sender gives it up, and the machine reports more than once.
        harness.run(Micros::secs(20));
        harness.holds_starts = false;
        let begun: Vec<String> = std::mem::take(&mut harness.begun);
        assert_eq!(begun.is_empty(), called_off, "{begun:?}");
        let late = harness.deliver_held_commands();
        assert_eq!(late, [if refused { 409 } else { 200 }], "called off: {called_off}");
        assert_eq!(harness.begun, Vec::<String>::new(), "begun late");
        let raised = harness.controller.status(harness.now)["counts"]["decisions"]["raised_tokens"]
            .as_u64()
            .expect("a count");
        assert_eq!(raised, u64::from(refused), "no token is raised for nothing");

        // What is sent directly from then on is executed.
        assert_eq!(harness.submit(&body("j-2")).status, 201);
        harness.run(Micros::millis(100));
        assert_eq!(harness.begun, ["j-2/0", "j-2/1"], "called off: {called_off}");
        assert_eq!(harness.refused_commands, 0, "called off: {called_off}");
    }
}
