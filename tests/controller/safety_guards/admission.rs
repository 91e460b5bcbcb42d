//! Admissions whose reply from the key-value store is lost.

use super::writes;
use crate::harness::{Harness, Outcome, settings, submission};
use millethold::time::Micros;
use serde_json::Value;

/// For how long the watches hang.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WatchHang {
    Never,
    UntilTimeout,
    Always,
}

/// Guards against a stored job that no controller runs. The write that accepts the job is
/// executed, perhaps late, but its reply is lost, so the user receives 503. The shard must run the
/// job once the call has timed out, whether the watch reports the record before or after the
/// timeout, or hangs while the user queries or repeats the submission.
#[test]
fn jobs_run_although_the_admission_reply_is_lost() {
    type UserAction = fn(&mut Harness);
    let none: UserAction = |_| {};
    let queries: UserAction =
        |harness| assert_eq!(harness.poll("j-1").status_and_stage(), (200, "queued"));
    let repeats: UserAction = |harness| {
        assert_eq!(harness.submit(&submission("j-1")).status_and_stage(), (200, "queued"))
    };
    // Outcome of the write, how long the watches hang, what the user does afterwards, number of
    // submissions.
    let table = [
        ("watch event first", Outcome::ReplyLost, WatchHang::Never, none, 1),
        ("timeout first", Outcome::ReplyLost, WatchHang::UntilTimeout, none, 1),
        ("executed late", Outcome::Late, WatchHang::Never, none, 1),
        ("queried, the watch hangs", Outcome::ReplyLost, WatchHang::Always, queries, 1),
        ("repeated, the watch hangs", Outcome::ReplyLost, WatchHang::Always, repeats, 1),
        ("batch, watch event first", Outcome::ReplyLost, WatchHang::Never, none, 20),
        ("batch, timeout first", Outcome::ReplyLost, WatchHang::UntilTimeout, none, 20),
        ("batch, executed late", Outcome::Late, WatchHang::Never, none, 20),
    ];
    for (name, outcome, hang, user_action, count) in table {
        let config = settings(0, 1, "");
        let config = match count {
            1 => config,
            // With few writes per second, waiting submissions are accepted in batches.
            _ => config.replace("write_rps = 1000.0", "write_rps = 16.0"),
        };
        let mut harness = Harness::new(&config, &[]);
        harness.wait_until_healthy();
        harness.run(Micros::secs(2));
        harness.watches_hang = hang != WatchHang::Never;
        harness.outcome = Box::new(move |call| match writes(call, "j/") {
            true => outcome,
            false => Outcome::Served,
        });
        let bodies: Vec<Value> = (1..=count).map(|n| submission(&format!("j-{n}"))).collect();
        let tickets: Vec<u64> = bodies
            .iter()
            .map(|body| harness.send_request("POST", "/work", body.to_string().as_bytes()))
            .collect();
        harness.run(Micros::millis(4_500));
        for ticket in tickets {
            let answer = harness.answer(ticket).expect("an answer within 4.5 s");
            assert_eq!((answer.status, answer.retry_after.is_some()), (503, true), "{name}");
        }
        assert!(harness.calls.iter().any(|call| writes(call, "w/0/_")) == (count > 1), "{name}");
        harness.execute_late_calls();
        harness.run(Micros::millis(1_000));
        harness.outcome = Box::new(|_| Outcome::Served);
        user_action(&mut harness);
        harness.watches_hang = hang == WatchHang::Always;
        harness.run(Micros::millis(2_500));
        assert_eq!(harness.list("j/").len(), count, "{name}: stored");
        assert_eq!(harness.job_count(), count as u64, "{name}: local jobs");
    }
}
