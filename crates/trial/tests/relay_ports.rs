//! Start of the relay on a machine where many ports are in use.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};

use salttally_trial::net::{Net, Quality};
use salttally_trial::processes::Clock;
use salttally_trial::relay::Relay;

// Guards against failing to start on a port that is free for UDP but in use by a TCP connection, which made CI runs fail.
#[test]
fn the_relay_starts_while_connections_use_many_ports() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let connections: Vec<(TcpStream, TcpStream)> =
        (0..2_000).map(|_| (TcpStream::connect(address).unwrap(), listener.accept().unwrap().0)).collect();
    let front = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7301);
    for start in 0..200 {
        let relay = Relay::start(Net::new(Quality::default()), &[front], start, Clock::start());
        assert!(relay.is_ok(), "start {start} beside {} connections: {:?}", connections.len(), relay.err());
    }
}
