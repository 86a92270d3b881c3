//! The loopback addresses that test processes share out.

use std::{
    net::{IpAddr, Ipv4Addr, UdpSocket},
    process,
};

use stand_in::gateway::deployment::{RESERVATION_PORT, block_octet, loopback};

/// Two test processes whose ids differ by a multiple of 200 started gateways at the same addresses.
#[test]
fn addresses_of_another_process_are_not_used() {
    let octet = block_octet(process::id());
    let first = Ipv4Addr::new(127, octet, 0, 1);
    // It fails only if another process has the block already.
    let _other_process = UdpSocket::bind((first, RESERVATION_PORT));
    let IpAddr::V4(address) = loopback(1, 1) else {
        panic!("an IPv6 address");
    };
    assert_ne!(address.octets()[1], octet);
    assert_eq!(
        loopback(2, 3),
        IpAddr::V4(Ipv4Addr::new(127, address.octets()[1], 2, 3))
    );
}
