//! Acceptances whose answer is lost.

use super::writes;
use crate::harness::{Harness, Outcome, body, settings};
use millethold::time::Micros;
use serde_json::Value;

/// For how long the watch says nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Hangs {
    Not,
    UntilGivenUp,
    AllAlong,
}

/// An acceptance whose answer is lost: its shard runs the job once the call is given up,
/// whether the watch told of it before or afterwards, and whoever the user asks next.
#[test]
fn accepted_though_the_answer_is_lost() {
    type After = fn(&mut Harness);
    let silent: After = |_| {};
    let asks: After = |harness| assert_eq!(harness.poll("j-1").said(), (200, "queued"));
    let repeats: After = |harness| assert_eq!(harness.submit(&body("j-1")).said(), (200, "queued"));
    // Outcome, for how long the watch hangs, what the user does then, submissions.
    let table = [
        ("told by the watch first", Outcome::AnswerLost, Hangs::Not, silent, 1),
        ("given up first", Outcome::AnswerLost, Hangs::UntilGivenUp, silent, 1),
        ("carried out late", Outcome::Late, Hangs::Not, silent, 1),
        ("its user asks, the watch hangs", Outcome::AnswerLost, Hangs::AllAlong, asks, 1),
        ("its user repeats it, the watch hangs", Outcome::AnswerLost, Hangs::AllAlong, repeats, 1),
        ("some together, told by the watch first", Outcome::AnswerLost, Hangs::Not, silent, 20),
        ("some together, given up first", Outcome::AnswerLost, Hangs::UntilGivenUp, silent, 20),
        ("some together, carried out late", Outcome::Late, Hangs::Not, silent, 20),
    ];
    for (name, outcome, hangs, then, count) in table {
        let config = settings(0, 1, "");
        let config = match count {
            1 => config,
            // So few changes a second that those which wait are accepted together.
            _ => config.replace("write_rps = 1000.0", "write_rps = 16.0"),
        };
        let mut harness = Harness::new(&config, &[]);
        harness.start();
        harness.run(Micros::secs(2));
        harness.watches_hang = hangs != Hangs::Not;
        harness.outcome = Box::new(move |call| match writes(call, "j/") {
            true => outcome,
            false => Outcome::Served,
        });
        let bodies: Vec<Value> = (1..=count).map(|n| body(&format!("j-{n}"))).collect();
        let tickets: Vec<u64> = bodies
            .iter()
            .map(|body| harness.send_request("POST", "/work", body.to_string().as_bytes()))
            .collect();
        harness.run(Micros::millis(4_500));
        for ticket in tickets {
            let answer = harness.answer(ticket).expect("an answer in time");
            assert_eq!((answer.status, answer.retry_after.is_some()), (503, true), "{name}");
        }
        assert!(harness.calls.iter().any(|call| writes(call, "w/0/_")) == (count > 1), "{name}");
        harness.carry_out_late();
        harness.run(Micros::millis(1_000));
        harness.outcome = Box::new(|_| Outcome::Served);
        then(&mut harness);
        harness.watches_hang = hangs == Hangs::AllAlong;
        harness.run(Micros::millis(2_500));
        assert_eq!(harness.list("j/").len(), count, "{name}: stored");
        assert_eq!(harness.jobs(), count as u64, "{name}: nobody runs it");
    }
}
