//! HTTP requests and answers.

use millethold::http::{self, HttpError};

#[test]
fn http_requests() {
    let long = format!("POST /work HTTP/1.1\r\nContent-Length: {}\r\n\r\n", http::MAX_BODY + 1);
    let endless = format!("GET /{} HTTP/1.1\r\n", "x".repeat(http::MAX_HEAD));
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
        let got = http::parse_request(text.as_bytes()).map(|r| r.map(|(r, _)| r.body.len()));
        assert_eq!(got, want, "{:.60}", text);
    }
    let mut out = Vec::new();
    http::write_answer(&mut out, 503, Some(2), "application/json", b"{}", true);
    let text = String::from_utf8(out.clone()).expect("text");
    assert!(text.contains("Retry-After: 2\r\n") && text.contains("Connection: close\r\n"));
    let (answer, used) = http::parse_answer(&out).expect("HTTP").expect("whole");
    assert_eq!((answer.status, answer.close, used), (503, true, out.len()));
}
