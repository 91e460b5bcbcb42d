//! Tests of parsing job submissions.

use super::submission;
use millethold::wire;
use serde_json::{Value, json};

#[test]
fn submission_fields() {
    let valid = wire::parse_job(submission().to_string().as_bytes()).expect("a valid submission");
    assert_eq!(
        (valid.tasks, valid.gpus, valid.one_zone, valid.deadline_s),
        (16, 1.0, true, Some(900.0))
    );
    // Field, invalid value, field that the refusal names. Null counts as absent.
    let table = [
        ("ref", json!("x-1"), "ref"),
        ("ref", json!("j-"), "ref"),
        ("ref", json!("j-12a"), "ref"),
        ("ref", json!(7), "ref"),
        ("ref", Value::Null, "ref"),
        ("grade", Value::Null, "grade"),
        ("crew", json!(""), "crew"),
        ("cut", json!("heap"), "cut"),
        ("cut", Value::Null, "cut"),
        ("urgency", json!("soon"), "urgency"),
        ("planks", json!(0), "planks"),
        ("planks", json!(100_001), "planks"),
        ("planks", json!(1.5), "planks"),
        ("planks", json!("3"), "planks"),
        ("cpus", json!(-1.0), "cpus"),
        ("cpus", json!("4"), "cpus"),
        ("cpus", json!(1e300), "cpus"),
        ("ramGb", Value::Null, "ramGb"),
        ("pattern", json!(3), "pattern"),
        ("pullGb", json!(-0.1), "pullGb"),
        ("benches", json!("g8"), "benches"),
        ("benches", json!([1]), "benches"),
        ("yard", json!(1), "yard"),
        ("together", json!("yes"), "together"),
        ("expectedS", Value::Null, "expectedS"),
        ("dueS", json!(-5), "dueS"),
        ("gpus", Value::Null, "gpus"),
        ("together", Value::Null, "together"),
        ("apart", Value::Null, "apart"),
        ("loaners", Value::Null, "loaners"),
        ("notchS", Value::Null, "notchS"),
        ("stackS", Value::Null, "stackS"),
    ];
    for (field, value, named) in table {
        let mut body = submission();
        body[field] = value.clone();
        let refusal = wire::parse_job(body.to_string().as_bytes()).expect_err(field);
        assert_eq!(refusal.field, named, "{field} = {value}");
        // The refusal contains the id, so that a repeat of an accepted job is recognized.
        assert_eq!(refusal.id.is_some(), named != "ref", "{field} = {value}");
    }
    for field in ["benches", "yard", "dueS"] {
        let mut body = submission();
        body[field] = Value::Null;
        assert!(wire::parse_job(body.to_string().as_bytes()).is_ok(), "{field} may be null");
        body.as_object_mut().expect("an object").remove(field);
        assert!(wire::parse_job(body.to_string().as_bytes()).is_ok(), "{field} may be absent");
    }
    for text in ["", "{", "[]", "3", "\"x\"", "nul", "\u{0}"] {
        assert_eq!(wire::parse_job(text.as_bytes()).expect_err(text).field, "");
    }
    let mut body = submission();
    body["surprise"] = json!({"of": "a later version"});
    assert!(wire::parse_job(body.to_string().as_bytes()).is_ok());
}
