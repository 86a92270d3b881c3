//! Headers of requests and responses.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use platform::headers::{
    PauseRequest, PromptSegment, RateLimit, RequestHead, ResponseHead, UpstreamHead,
    headers_for_caller, headers_for_upstream,
};

fn headers(lines: &[(&str, &str)]) -> HeaderMap {
    lines
        .iter()
        .map(|(name, value)| {
            let name: HeaderName = name.parse().expect("a name");
            (name, HeaderValue::from_str(value).expect("a value"))
        })
        .collect()
}

#[test]
fn request_head_decodes_all_headers() {
    let head = RequestHead::decode(&headers(&[
        ("Host", "h.example:80"),
        ("Request-Id", "9c41"),
        ("Model", "*"),
        ("Token-Usage", "1460,80"),
        ("Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"),
        ("Deadline-Ms", "8000"),
        ("X-Api-Key", "k"),
        ("Session", "s"),
        ("Last-Event-Id", "12"),
    ]))
    .expect("valid");
    assert_eq!(head.host, "h.example");
    assert!(head.any_model);
    assert_eq!(head.caller_timeout, Some(Duration::from_secs(8)));
    assert_eq!(head.last_event_id, Some(12));
    let prompt = head.prompt.expect("a prompt");
    assert_eq!((prompt.tokens, prompt.max_output_tokens), (1_460, 80));
    assert_eq!(
        prompt.segments[1],
        PromptSegment {
            id: 0x91bd_3f06,
            tokens: 410
        }
    );
}

#[test]
fn malformed_request_head_is_rejected() {
    for (name, value) in [
        ("Deadline-Ms", "soon"),
        ("Token-Usage", "1460"),
        ("Prompt-Prefix", "zz:1"),
        ("Last-Event-Id", "-1"),
    ] {
        let mut map = headers(&[("Token-Usage", "1,1")]);
        map.extend(headers(&[(name, value)]));
        let e = RequestHead::decode(&map).expect_err(name);
        assert_eq!(
            e.to_string(),
            format!("header {} is not valid", name.to_lowercase())
        );
    }
}

#[test]
fn headers_for_upstream_replace_system_headers() {
    let caller = headers(&[
        ("Host", "h.example"),
        ("Request-Id", "9c41"),
        ("X-Api-Key", "secret"),
        ("Tenant-Id", "forged"),
        ("Hold", "h"),
        ("Pin-Ms", "1"),
        ("Kv-Backup", "b"),
        ("Kv-From", "f"),
        ("Kv-Fetch", "f"),
        ("Expect-Instance", "other"),
        ("Expect-Version", "1"),
        ("Request-Priority", "0"),
        ("Model", "*"),
        ("Deadline-Ms", "8000"),
        ("Connection", "close, X-Hop"),
        ("X-Hop", "1"),
        ("Transfer-Encoding", "chunked"),
        ("X-Kept", "1"),
    ]);
    let sent = headers_for_upstream(
        &caller,
        &UpstreamHead {
            remaining: Duration::from_millis(7_500),
            upstream: "u1",
            customer: Some("t1"),
            model: Some("small"),
            priority: 12,
            last_event_id: Some(3),
        },
    );
    let mut lines: Vec<String> = sent
        .iter()
        .map(|(name, value)| format!("{name}: {}", value.to_str().expect("text")))
        .collect();
    lines.sort();
    assert_eq!(
        lines,
        [
            "deadline-ms: 7500",
            "expect-instance: u1",
            "host: h.example",
            "last-event-id: 3",
            "model: small",
            "request-id: 9c41",
            "request-priority: 9",
            "tenant-id: t1",
            "x-kept: 1",
        ]
    );
}

#[test]
fn response_head_identifies_its_request() {
    let response = headers(&[
        ("Request-Id", "a"),
        ("Response-Seal", "s"),
        ("Confidence", "41.5"),
    ]);
    let head = ResponseHead::decode(StatusCode::OK, &response, Some("a"));
    assert!(head.matches_request && head.signed && !head.not_run);
    assert_eq!(head.confidence, Some(41));
    assert!(!ResponseHead::decode(StatusCode::OK, &response, Some("b")).matches_request);
}

#[test]
fn encoded_body_is_not_signed() {
    let response = headers(&[("Response-Seal", "s"), ("Content-Encoding", "gzip")]);
    assert!(!ResponseHead::decode(StatusCode::OK, &response, None).signed);
}

#[test]
fn not_run_requires_an_explicit_promise() {
    let promised = headers(&[("Not-Executed", "1")]);
    let decode = |status, map: &HeaderMap| ResponseHead::decode(status, map, None).not_run;
    assert!(decode(StatusCode::SERVICE_UNAVAILABLE, &promised));
    assert!(decode(StatusCode::MISDIRECTED_REQUEST, &HeaderMap::new()));
    assert!(!decode(StatusCode::SERVICE_UNAVAILABLE, &HeaderMap::new()));
    assert!(!decode(StatusCode::TOO_MANY_REQUESTS, &HeaderMap::new()));
}

#[test]
fn headers_for_caller_drop_hop_by_hop_headers() {
    let response = headers(&[
        ("Connection", "close"),
        ("Keep-Alive", "timeout=5"),
        ("Content-Length", "3"),
        ("Response-Seal", "s"),
    ]);
    let names: Vec<String> = headers_for_caller(&response)
        .keys()
        .map(ToString::to_string)
        .collect();
    assert_eq!(names, ["response-seal"]);
}

#[test]
fn response_head_names_a_limit() {
    let limit = |value| {
        ResponseHead::decode(StatusCode::OK, &headers(&[("server-limit", value)]), None).rate_limit
    };
    for (value, expected) in [
        ("2.3", 2_300),
        ("1.5", 1_500),
        (" 2 ", 2_000),
        ("0", 0),
        ("1e9", u32::MAX),
    ] {
        let expected = Some(RateLimit::PerKilosecond(expected));
        assert_eq!(limit(value), expected, "{value:?}");
    }
    for invalid in ["-1", "few", "", "NaN", "inf", "1,5"] {
        assert_eq!(limit(invalid), Some(RateLimit::Invalid), "{invalid:?}");
    }
    let none = ResponseHead::decode(StatusCode::OK, &headers(&[]), None);
    assert_eq!(none.rate_limit, None);
}

#[test]
fn response_head_announces_leaving_and_pauses() {
    let decode =
        |status, lines: &[(&str, &str)]| ResponseHead::decode(status, &headers(lines), None);
    let pause = |value| decode(StatusCode::SERVICE_UNAVAILABLE, &[("retry-after", value)]).pause;
    assert_eq!(
        pause("1.5"),
        Some(PauseRequest::For(Duration::from_millis(1_500)))
    );
    for invalid in ["-1", "soon", "", "NaN", "1e400"] {
        assert_eq!(pause(invalid), Some(PauseRequest::Invalid), "{invalid}");
    }
    let busy = decode(StatusCode::TOO_MANY_REQUESTS, &[("retry-after", "1")]);
    assert_eq!(busy.pause, None);
    assert!(decode(StatusCode::OK, &[("server-leaving", "1")]).leaving);
    assert!(!decode(StatusCode::OK, &[("server-leaving", "0")]).leaving);
    assert!(!decode(StatusCode::OK, &[]).leaving);
}
