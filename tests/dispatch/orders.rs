//! Tests of operators' orders that arrive late or go missing.

use std::time::Instant;

use hibiscusyoke::coordination::dispatch::Applied;

use crate::support::{configuration, dispatcher, order};

#[test]
fn older_configuration_never_replaces_newer() {
    let now = Instant::now();
    let mut dispatcher = dispatcher();
    assert_eq!(
        order(&mut dispatcher, &configuration(7), now),
        Applied::Configured(7)
    );
    assert_eq!(
        order(&mut dispatcher, &configuration(5), now),
        Applied::Nothing
    );
    let routes = dispatcher.routes().expect("a configuration");
    assert_eq!(routes.configuration().generation, 7);
}

#[test]
fn evacuation_missing_from_a_full_read_ends() {
    let now = Instant::now();
    let mut dispatcher = crate::support::ready(&[crate::support::upstream("u1", 1, "ready")], now);
    let evacuate = crate::support::row("evacuate/a", 2, Some(serde_json::json!({})));
    order(&mut dispatcher, &evacuate, now);
    dispatcher.replace_evacuations(&std::collections::BTreeSet::new(), now);
    crate::support::assign(&mut dispatcher, &crate::support::request(1), now);
}
