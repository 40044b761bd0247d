//! What a connection does with a peer that takes nothing.

use std::net::{TcpListener, TcpStream};

use super::*;

#[test]
fn a_peer_that_reads_nothing_is_given_up_and_not_tried_for_ever() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    stream.set_nonblocking(true).unwrap();
    let _reads_nothing = listener.accept().unwrap();
    let mut connection = Connection::client(stream, 256 * 1024);
    let mut given_up = false;
    for now in 0..1_000 {
        connection.outgoing = vec![0; 64 * 1024];
        given_up = connection.flush(now) == Flushed::Broken;
        if given_up {
            break;
        }
    }
    assert!(given_up);
}
