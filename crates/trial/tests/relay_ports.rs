//! The relay starts on a machine whose ports are in use.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};

use salttally_trial::net::{Net, Quality};
use salttally_trial::processes::Clock;
use salttally_trial::relay::Relay;

// Caught a port that was free for datagrams and in use by a connection: the whole of CI fell by it once.
#[test]
fn a_relay_starts_while_connections_hold_many_of_the_ports() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap();
    let connections: Vec<(TcpStream, TcpStream)> =
        (0..2_000).map(|_| (TcpStream::connect(to).unwrap(), listener.accept().unwrap().0)).collect();
    let front = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7301);
    for start in 0..200 {
        let relay = Relay::start(Net::new(Quality::default()), &[front], start, Clock::start());
        assert!(relay.is_ok(), "start {start} beside {} connections: {:?}", connections.len(), relay.err());
    }
}
