//! Tests of parsing and writing HTTP messages.

use millethold::cloud::CloudCall;
use millethold::http::{self, HttpError, OutgoingRequest, OutgoingResponse};
use millethold::kv_store::KvRequest;
use millethold::time::Micros;
use millethold::wire::{Condition, ScaleOutRequest, Txn, Write};

#[test]
fn http_requests() {
    let long = format!(
        "POST /work HTTP/1.1\r\nContent-Length: {}\r\n\r\n",
        http::MAX_REQUEST_BODY_BYTES + 1
    );
    let endless = format!("GET /{} HTTP/1.1\r\n", "x".repeat(http::MAX_HEAD_BYTES));
    let table: [(&str, Result<Option<usize>, HttpError>); 11] = [
        ("GET /healthz HTTP/1.1\r\n\r\n", Ok(Some(0))),
        ("GET /healthz HTTP/1.1\r\nHost: a\r\n", Ok(None)),
        ("POST /work HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}", Ok(Some(2))),
        ("POST /work HTTP/1.1\r\nContent-Length: 3\r\n\r\n{}", Ok(None)),
        ("POST /work HTTP/1.1\r\nContent-Length: x\r\n\r\n", Err(HttpError::Malformed)),
        ("POST /work HTTP/1.1\r\nContent-Length: -1\r\n\r\n", Err(HttpError::Malformed)),
        (
            "POST /work HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            Err(HttpError::Malformed),
        ),
        (
            "POST /work HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            Err(HttpError::Malformed),
        ),
        (&long, Err(HttpError::TooLarge)),
        (&endless, Err(HttpError::Malformed)),
        ("\u{1}\u{2}\r\n\r\n", Err(HttpError::Malformed)),
    ];
    for (text, want) in table {
        let got = http::parse_request(text.as_bytes()).map(|r| r.map(|r| r.message.body.len()));
        assert_eq!(got, want, "{:.60}", text);
    }
    let mut out = Vec::new();
    let answer = OutgoingResponse {
        status: 503,
        retry_after: Some(2),
        content_type: "application/json",
        body: b"{}",
        close: true,
    };
    answer.write_to(&mut out);
    let text = String::from_utf8(out.clone()).expect("text");
    assert!(text.contains("Retry-After: 2\r\n") && text.contains("Connection: close\r\n"));
    let head = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n\
                Content-Length: 2\r\nRetry-After: 2\r\nConnection: close\r\n\r\n";
    assert_eq!(text, format!("{head}{{}}"));
    let http::Received { message: answer, length: used } =
        http::parse_response(&out).expect("HTTP").expect("a complete answer");
    assert_eq!((answer.status, answer.close, used), (503, true, out.len()));
}

/// The text of a request as sent.
fn request_text(request: OutgoingRequest) -> String {
    let host = "10.2.0.1:70".parse().expect("an address");
    String::from_utf8(request.to_bytes(host)).expect("text")
}

/// The expected text of a request without a body.
fn without_body(line: &str) -> String {
    format!("{line} HTTP/1.1\r\nHost: 10.2.0.1:70\r\n\r\n")
}

/// The expected text of a request with a body.
fn with_body(line: &str, body: &str) -> String {
    format!(
        "{line} HTTP/1.1\r\nHost: 10.2.0.1:70\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

#[test]
fn requests_to_the_store() {
    let second = Micros::secs(1);
    let list = |after: Option<&str>| {
        let after = after.map(String::from);
        KvRequest::List { prefix: "j/".into(), after, limit: 100 }
    };
    let watch = KvRequest::Watch { prefix: "j/".into(), after: 3, block: second };
    let txn = Txn {
        conditions: vec![Condition { key: "a".into(), revision: 4 }],
        writes: vec![Write::Delete { key: "b".into() }],
    };
    let table = [
        (KvRequest::Get("j/1".into()), without_body("GET /kv/j/1")),
        (list(None), without_body("GET /kv?prefix=j/&limit=100")),
        (list(Some("j/7")), without_body("GET /kv?prefix=j/&after=j/7&limit=100")),
        (watch, without_body("GET /follow?prefix=j/&after=3&blockMs=1000")),
        (
            KvRequest::Txn(txn),
            with_body("POST /txn", r#"{"if":[{"k":"a","mark":4}],"writes":[{"drop":"b"}]}"#),
        ),
        (KvRequest::GrantLease(second), with_body("POST /leases", r#"{"ttlMs":1000}"#)),
        (KvRequest::RenewLease(9), with_body("POST /leases/9/extend", "{}")),
        (KvRequest::RevokeLease(9), without_body("DELETE /leases/9")),
    ];
    for (call, want) in table {
        assert_eq!(request_text(call.encode()), want, "{call:?}");
    }
}

#[test]
fn requests_to_the_cloud() {
    let request = ScaleOutRequest {
        request: "r1".into(),
        machine_type: "t4".into(),
        zone: "a".into(),
        spot: true,
        count: 2,
    };
    let scale_out = r#"{"hire":"r1","bench":"t4","yard":"a","loaners":true,"howMany":2}"#;
    let scale_in = r#"{"lathes":["vm-1"]}"#;
    let next_page = CloudCall::ListMachines { after: Some("vm-1".into()) };
    let table = [
        (CloudCall::ListMachineTypes, without_body("GET /flavors")),
        (CloudCall::ScaleOut(request), with_body("POST /machines", scale_out)),
        (CloudCall::ScaleIn(vec!["vm-1".into()]), with_body("POST /machines/return", scale_in)),
        (CloudCall::ListMachines { after: None }, without_body("GET /machines?limit=500")),
        (next_page, without_body("GET /machines?limit=500&after=vm-1")),
    ];
    for (call, want) in table {
        assert_eq!(request_text(call.encode()), want, "{call:?}");
    }
}
