//! Direct starts that arrive late.

use crate::harness::{Harness, submission};
use millethold::time::Micros;

/// Guards against the start of a cancelled job's task. A direct start arrives only after its
/// sender has timed out and the job was cancelled. By then the worker must have a higher fencing
/// token, so that it refuses the start and still executes later commands.
#[test]
fn late_start_of_a_cancelled_job() {
    // Whether the job is cancelled, whether the late start is refused.
    for (cancelled, refused) in [(true, true), (false, false)] {
        let mut harness = Harness::ready("", &[]);
        harness.add_machine();
        harness.run(Micros::secs(5));
        harness.hold_starts = true;
        assert_eq!(harness.submit(&submission("j-1")).status, 201);
        if cancelled {
            assert_eq!(harness.cancel("j-1").status_and_stage(), (200, "cancelled"));
        }
        // The sender times out, and the machine sends several heartbeats.
        harness.run(Micros::secs(20));
        harness.hold_starts = false;
        let started: Vec<String> = std::mem::take(&mut harness.started_tasks);
        assert_eq!(started.is_empty(), cancelled, "{started:?}");
        let late = harness.deliver_held_commands();
        assert_eq!(late, [if refused { 409 } else { 200 }], "cancelled: {cancelled}");
        assert_eq!(harness.started_tasks, Vec::<String>::new(), "started late");
        let raised = harness.controller.status(harness.now)["counts"]["decisions"]["raised_tokens"]
            .as_u64()
            .expect("a count");
        assert_eq!(raised, u64::from(refused), "raised fencing tokens");

        // Later direct commands are executed.
        assert_eq!(harness.submit(&submission("j-2")).status, 201);
        harness.run(Micros::millis(100));
        assert_eq!(harness.started_tasks, ["j-2/0", "j-2/1"], "cancelled: {cancelled}");
        assert_eq!(harness.refused_commands, 0, "cancelled: {cancelled}");
    }
}
