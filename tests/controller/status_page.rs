//! Tests of the status page: peer formats and limits during an upgrade, dependencies of jobs, and
//! the names of all fields.

use crate::harness::{Harness, settings, submission, submission_after};
use millethold::config::{Config, Options};
use millethold::controller::Controller;
use millethold::peer::{FORMAT, Frame};
use millethold::time::Micros;
use serde_json::{Value, json};

/// The page shows which members run another version, and from which none has sent a frame.
#[test]
fn formats_of_members() {
    let table = [
        ("a version that announces no format", Some(0), json!(0)),
        ("this version", Some(FORMAT), json!(FORMAT)),
        ("a later version", Some(FORMAT + 1), json!(FORMAT + 1)),
        ("no frame yet", None, Value::Null),
    ];
    for (name, announced, shown) in table {
        let mut harness = Harness::new(&settings(1, 2, ""), &[]);
        if let Some(format) = announced {
            let frame = Frame {
                incarnation: 3,
                lease_valid: true,
                is_full_sync: true,
                format,
                ..Frame::default()
            };
            harness.receive_frame(0, frame);
        }
        let status = harness.controller.status(harness.now);
        assert_eq!(status["format"], json!(FORMAT), "{name}");
        assert_eq!(status["peers"][0]["member"], json!("n0"), "{name}");
        assert_eq!(status["peers"][0]["format"], shown, "{name}");
        assert_eq!(status["peers"][0]["alive"], json!(announced.is_some()), "{name}");
    }
}

/// Announced lower limits apply from the start. The current value size stays in force only for
/// chunks of jobs that an earlier version has divided.
#[test]
fn limits_in_force() {
    let table = [
        ("no change announced", "", 1_000.0, 8.0, 8.0),
        ("announced", "[settings.state.next]\nvalue_kb = 2.0\nwrite_rps = 40.0\n", 40.0, 2.0, 8.0),
    ];
    for (name, next, write_rps, value_kb, largest_value_kb) in table {
        let harness = Harness::new(&settings(0, 1, next), &[]);
        let status = harness.controller.status(harness.now);
        let limits = &status["state_limits"];
        assert_eq!(limits["write_rps"], json!(write_rps), "{name}");
        assert_eq!(limits["value_kb"], json!(value_kb), "{name}");
        assert_eq!(limits["largest_value_kb"], json!(largest_value_kb), "{name}");
    }
}

/// Jobs cancelled with a dependency are counted separately from those that users cancel.
#[test]
fn jobs_cancelled_with_a_dependency() {
    let mut harness = Harness::ready("", &[]);
    assert_eq!(harness.submit(&submission("j-1")).status, 201);
    assert_eq!(harness.submit(&submission_after("j-2", &["j-1"])).status, 201);
    let waiting = harness.controller.status(harness.now);
    assert_eq!(waiting["jobs_that_need_others"], json!(1));
    assert!(harness.controller.queue_page(harness.now).contains("j-2"), "j-2 is on the queue page");
    assert_eq!(harness.cancel("j-1").status, 200);
    harness.run(Micros::secs(5));
    let counts = &harness.controller.status(harness.now)["counts"];
    assert_eq!(counts["cancelled_with_upstream"], json!(1));
    assert_eq!(counts["released"], json!(0));
}

/// Operators' tools depend on these field names, whatever the names in the code are.
#[test]
fn field_names_on_the_page() {
    let config = Config::parse(&settings(1, 2, "")).expect("valid settings");
    let now = Micros::secs(1);
    let status = Controller::new(&config, Options::default(), 1, now).status(now);
    let names = |value: &Value| -> Vec<String> {
        value.as_object().expect("an object").keys().cloned().collect()
    };
    let table = [
        (
            &status,
            "counts format image_entries jobs jobs_that_need_others lease_valid machines member \
             peers rented shards state_limits tasks_waiting unlisted_jobs",
        ),
        (&status["peers"][0], "alive format member state_ok"),
        (&status["state_limits"], "largest_value_kb rps txn_ops value_kb write_rps"),
        (&status["shards"][0], "holder loaded owned revision shard term"),
        (
            &status["counts"],
            "accepted bad_reports cancelled cancelled_with_upstream decisions done failed \
             image_hits lost outdated_reads placed preempted refused released reports",
        ),
        (
            &status["counts"]["decisions"],
            "answered_starts direct_starts final_answers forgets raised_tokens \
             renewals_refused_for_unknown renewals_with_cancelled rent_requests \
             returned_machines stops tasks_beside_raises tokens_raised_to_forget \
             unanswered_starts violations",
        ),
    ];
    for (value, expected) in table {
        let mut names = names(value);
        names.sort();
        assert_eq!(names.join(" "), expected);
    }
}
