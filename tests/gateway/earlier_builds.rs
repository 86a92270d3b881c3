//! Messages of daemons of an earlier build, which run beside this one while an upgrade runs.

use hibiscusyoke::{gateway::datagram::Datagram, protocol::codec};

/// Heartbeats as build 2cd6eef sent them, a line each, with loads, limits, departures and a rollout.
const RECORDED: &str = include_str!("../samples/heartbeats-2cd6eef.hex");

fn from_hex(line: &str) -> Vec<u8> {
    let digits: Vec<char> = line.chars().collect();
    let byte = |pair: &[char]| u8::from_str_radix(&String::from_iter(pair), 16);
    let bytes = digits.chunks(2).map(byte).collect::<Result<_, _>>();
    bytes.expect("hexadecimal digits")
}

/// Daemons of two builds did not hear each other during an upgrade, as fields had been added.
#[test]
fn heartbeats_of_an_earlier_build_are_read_and_written_alike() {
    let mut with_loads = 0;
    let mut with_rollouts = 0;
    for line in RECORDED.lines() {
        let bytes = from_hex(line);
        let datagram: Datagram = codec::decode(&bytes).expect("a datagram of the earlier build");
        assert_eq!(
            codec::encode(&datagram).expect("encoded"),
            bytes,
            "{datagram:?}"
        );
        let Datagram::Heartbeat(heartbeat) = datagram else {
            panic!("{datagram:?}");
        };
        with_loads += usize::from(!heartbeat.loads.is_empty());
        with_rollouts += usize::from(!heartbeat.rollouts.is_empty());
    }
    assert!(with_loads > 0 && with_rollouts > 0);
}
