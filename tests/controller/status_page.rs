//! What the status page tells operators during an upgrade and of pipelines.

use crate::harness::{Harness, body, body_after, settings};
use millethold::config::{Config, Options};
use millethold::controller::Controller;
use millethold::peer::{FORMAT, Frame};
use millethold::time::Micros;
use serde_json::{Value, json};

/// Which members run an earlier version, and which have not been heard at all.
#[test]
fn formats_of_members() {
    let table = [
        ("a version before formats were told", Some(0), json!(0)),
        ("this version", Some(FORMAT), json!(FORMAT)),
        ("a later version", Some(FORMAT + 1), json!(FORMAT + 1)),
        ("no frame yet", None, Value::Null),
    ];
    for (name, told, shown) in table {
        let mut harness = Harness::new(&settings(1, 2, ""), &[]);
        if let Some(format) = told {
            let frame =
                Frame { incarnation: 3, state_ok: true, full: true, format, ..Frame::default() };
            harness.hear(0, frame);
        }
        let status = harness.controller.status(harness.now);
        assert_eq!(status["format"], json!(FORMAT), "{name}");
        assert_eq!(status["peers"][0]["member"], json!("n0"), "{name}");
        assert_eq!(status["peers"][0]["format"], shown, "{name}");
        assert_eq!(status["peers"][0]["alive"], json!(told.is_some()), "{name}");
    }
}

/// The smaller limits are kept from the start, the larger value only for what an earlier
/// version divided.
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

/// A job cancelled with one that it needs is counted apart from those that users cancel.
#[test]
fn jobs_cancelled_with_a_dependency() {
    let mut harness = Harness::ready("", &[]);
    assert_eq!(harness.submit(&body("j-1")).status, 201);
    assert_eq!(harness.submit(&body_after("j-2", &["j-1"])).status, 201);
    let waiting = harness.controller.status(harness.now);
    assert_eq!(waiting["jobs_that_need_others"], json!(1));
    assert!(
        harness.controller.queue_page(harness.now).contains("j-2"),
        "it is in the queue's page"
    );
    assert_eq!(harness.abort("j-1").status, 200);
    harness.run(millethold::time::Micros::secs(5));
    let counts = &harness.controller.status(harness.now)["counts"];
    assert_eq!(counts["cancelled_with_upstream"], json!(1));
    assert_eq!(counts["released"], json!(0));
}

/// Operators' tools read the page by these names, whatever the code calls the same.
#[test]
fn names_on_the_page() {
    let config = Config::parse(&settings(1, 2, "")).expect("good settings");
    let now = Micros::secs(1);
    let status = Controller::new(&config, Options::default(), 1, now).status(now);
    let names = |value: &Value| -> Vec<String> {
        value.as_object().expect("an object").keys().cloned().collect()
    };
    let table = [
        (
            &status,
            "counts format image_entries jobs jobs_that_need_others lease_valid machines member \
             peers rented shards state_limits tasks_waiting",
        ),
        (&status["peers"][0], "alive format member state_ok"),
        (&status["state_limits"], "largest_value_kb rps txn_ops value_kb write_rps"),
        (&status["shards"][0], "holder loaded owned revision shard term"),
        (
            &status["counts"],
            "accepted bad_reports cancelled cancelled_with_upstream decisions done failed \
             image_hits lost placed preempted refused released reports",
        ),
        (
            &status["counts"]["decisions"],
            "answered_starts direct_starts final_answers forgets raised_tokens rent_requests \
             returned_machines stops tasks_beside_raises unanswered_starts violations",
        ),
    ];
    for (value, expected) in table {
        let mut names = names(value);
        names.sort();
        assert_eq!(names.join(" "), expected);
    }
}
