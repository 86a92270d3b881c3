//! Tests of routes by host and longest prefix, and of customers by API key.

use std::time::Instant;

use hibiscusyoke::coordination::dispatch::routes::RouteError;

use crate::support::ready;

#[test]
fn find_longest_prefix() {
    let routes = ready(&[], Instant::now())
        .routes()
        .expect("a configuration");
    let find = |path| {
        routes
            .find("h", path, Some("k1"))
            .map(|m| m.route.name.to_string())
    };
    assert_eq!(find("/ask/x").as_deref(), Ok("ask"));
    assert_eq!(find("/ask/long/x").as_deref(), Ok("ask-long"));
    assert_eq!(find("/ask"), Err(RouteError::NoRoute));
    assert_eq!(find("/none/"), Err(RouteError::NoRoute));
}

#[test]
fn find_customer_by_key() {
    let routes = ready(&[], Instant::now())
        .routes()
        .expect("a configuration");
    let matched = routes.find("h", "/ask/", Some("k1")).expect("allowed");
    assert_eq!(
        (matched.customer.as_deref(), matched.priority),
        (Some("t1"), 1)
    );
    let other = routes.find("h", "/ask/", Some("k2")).expect("allowed");
    assert_eq!((other.customer.as_deref(), other.priority), (Some("t2"), 2));
    assert!(matches!(
        routes.find("h", "/ask/", None),
        Err(RouteError::NoCustomer)
    ));
    assert!(matches!(
        routes.find("h", "/ask/", Some("gone")),
        Err(RouteError::NoCustomer)
    ));
    assert!(routes.find("h", "/open/", None).is_ok());
}
