//! Direct starts that arrive late, or again.

use super::shard_status;
use crate::harness::{Harness, settings, submission};
use millethold::controller::leadership::fencing_token::RAISES_PER_TERM;
use millethold::peer::{FORMAT, Frame};
use millethold::time::Micros;

/// Guards against the start of a cancelled job's task. A direct start arrives only after its
/// sender has timed out and the job was cancelled. By then the worker must have a higher fencing
/// token, so that it refuses the start and still executes later commands.
#[test]
fn late_start_of_a_cancelled_job() {
    // Whether the job is cancelled, whether the late start is refused. The tasks of the other job
    // still run when it arrives.
    for (cancelled, refused) in [(true, true), (false, false)] {
        let mut harness = Harness::ready("", &[]);
        harness.add_machine();
        harness.run(Micros::secs(5));
        harness.task_duration_s.insert("j-1".into(), 60.0);
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

/// Guards against an attempt that runs again after its end. A copy of the direct command that
/// started it arrives once the worker has forgotten it; the worker must refuse the copy, and
/// execute later commands. As long as the attempt is listed, a copy has no effect.
#[test]
fn copies_of_an_executed_start() {
    let mut harness = Harness::ready("", &[]);
    harness.add_machine();
    harness.run(Micros::secs(5));
    harness.task_duration_s.insert("j-1".into(), 10.0);
    assert_eq!(harness.submit(&submission("j-1")).status, 201);
    harness.run(Micros::secs(5));
    assert_eq!(harness.started_tasks, ["j-1/0", "j-1/1"]);
    assert_eq!(harness.repeat_direct_starts(), [200], "the tasks run");
    harness.run(Micros::secs(20));
    assert_eq!(harness.poll("j-1").status_and_stage(), (200, "done"));
    assert_eq!(harness.repeat_direct_starts(), [409], "the tasks are forgotten");
    assert_eq!(harness.started_tasks, ["j-1/0", "j-1/1"], "started again");

    assert_eq!(harness.submit(&submission("j-2")).status, 201);
    harness.run(Micros::secs(20));
    assert_eq!(harness.started_tasks[2..], ["j-2/0", "j-2/1"]);
    assert_eq!(harness.poll("j-2").status_and_stage(), (200, "done"));
    assert_eq!(harness.refused_commands, 0, "a command of the controller is refused");
}

/// Guards against a start that its worker refuses only because the fencing token was raised
/// meanwhile. An ended attempt is forgotten with a higher token, but not while a direct command with
/// the old one is in flight.
#[test]
fn no_higher_token_while_a_direct_command_is_in_flight() {
    let mut harness = Harness::ready("", &[]);
    harness.add_machine();
    harness.run(Micros::secs(5));
    assert_eq!(harness.submit(&submission("j-1")).status, 201);
    while harness.get("j/j-1").is_none_or(|item| item.value["g"] != "d") {
        harness.run(Micros::millis(10));
    }
    harness.hold_starts = true;
    assert_eq!(harness.submit(&submission("j-2")).status, 201);
    // The worker sends a heartbeat, in whose response j-1 could be forgotten.
    harness.run(Micros::millis(1_200));
    assert_eq!(harness.deliver_held_commands(), [200], "the start of j-2");
    harness.hold_starts = false;
    harness.run(Micros::secs(10));
    assert_eq!(harness.poll("j-2").status_and_stage(), (200, "done"));
    assert_eq!(harness.repeat_direct_starts(), [409], "j-1 is forgotten in the end");
}

/// Guards against machines that a peer of an earlier version could not command if it acquired their
/// shard: its terms are not above raised fencing tokens. While such a peer is alive, ended attempts
/// are kept, and no token is raised for them.
#[test]
fn tokens_are_not_raised_to_forget_beside_an_earlier_version() {
    for (format, refused) in [(0, false), (FORMAT, true)] {
        let mut harness = Harness::new(&settings(1, 2, ""), &[]);
        harness.wait_until_healthy();
        harness.add_machine();
        harness.run(Micros::secs(5));
        assert_eq!(harness.submit(&submission("j-1")).status, 201);
        for _ in 0..40 {
            let alive = Frame { incarnation: 3, is_full_sync: true, format, ..Frame::default() };
            harness.receive_frame(0, alive);
            harness.run(Micros::millis(500));
        }
        assert_eq!(harness.poll("j-1").status_and_stage(), (200, "done"), "format {format}");
        let status = harness.controller.status(harness.now);
        let raised = status["counts"]["decisions"]["tokens_raised_to_forget"].as_u64();
        assert_eq!(raised, Some(u64::from(refused)), "format {format}");
        let expected = if refused { 409 } else { 200 };
        assert_eq!(harness.repeat_direct_starts(), [expected], "format {format}");
        assert_eq!(harness.started_tasks, ["j-1/0", "j-1/1"], "format {format}: started again");
    }
}

/// Guards against a machine that stands idle because its shard's term has no fencing token left for
/// it. Before that, the shard is led under a new term.
#[test]
fn new_term_before_all_fencing_tokens_are_used() {
    let mut harness = Harness::ready("", &[]);
    harness.add_machine();
    harness.run(Micros::secs(5));
    let (first_term, _) = shard_status(&harness, 0);
    // Not every job leads to a raise: some are started in heartbeat responses.
    let max_jobs = 4 * RAISES_PER_TERM;
    let mut jobs = 0;
    while shard_status(&harness, 0).0 == first_term {
        assert!(jobs < max_jobs, "still term {first_term} after {jobs} jobs");
        jobs += 1;
        harness.calls.clear();
        harness.submit(&submission(&format!("j-{jobs}")));
        harness.run(Micros::millis(2_500));
    }
    let status = harness.controller.status(harness.now);
    let raised = status["counts"]["decisions"]["tokens_raised_to_forget"].as_u64();
    assert_eq!(raised, Some(RAISES_PER_TERM), "raised before the new term");
    harness.run(Micros::secs(5));
    let started = harness.started_tasks.len();
    assert_eq!(harness.submit(&submission("j-0")).status, 201);
    harness.run(Micros::secs(10));
    assert_eq!(harness.started_tasks[started..], ["j-0/0", "j-0/1"]);
    assert_eq!(harness.poll("j-0").status_and_stage(), (200, "done"));
}
