//! Daemons of another build whose messages cannot be read, as may happen while an upgrade runs.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use hibiscusyoke::coordination::dispatch::{heartbeat::TableState, peers::Peers};

use crate::support::{address, heartbeat};

/// Time after which a silent daemon has no share any more.
const RETENTION: Duration = Duration::from_secs(20);

fn sharers(peers: &Peers, now: Instant) -> usize {
    peers.limit_sharers(now).count()
}

/// The daemons of each build took all of the fleet-wide limits for their own, twice as much together.
#[test]
fn daemon_that_cannot_be_read_keeps_its_share() {
    let listed: SocketAddr = address(1);
    let unknown: SocketAddr = address(2);
    let start = Instant::now();
    let mut peers = Peers::default();
    peers.expect_peer("front-1".into(), listed, start);
    for second in 0..60 {
        let now = start + Duration::from_secs(second);
        for address in [listed, unknown] {
            // It is reported once.
            assert_eq!(peers.hear_unreadable(address, now), second == 0);
        }
        peers.expire(now);
        assert_eq!(sharers(&peers, now), 2, "after {second} s");
    }
    let now = start + Duration::from_secs(59) + RETENTION;
    assert_eq!(sharers(&peers, now), 0);
}

/// A daemon that was upgraded counted twice, once by its name and once by its address.
#[test]
fn upgraded_daemon_counts_once() {
    let now = Instant::now();
    let mut peers = Peers::default();
    peers.hear_unreadable(address(1), now);
    peers.receive_heartbeat(heartbeat("front-1", TableState::NotPolled), address(1), now);
    assert_eq!(sharers(&peers, now), 1);
    assert!(!peers.hear_unreadable(address(1), now));
    assert_eq!(sharers(&peers, now), 1);
}
