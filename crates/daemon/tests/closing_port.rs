//! Tests that a connection which its caller holds for established when a port closes gets a complete response.

mod one_request;

use std::net::{SocketAddr, TcpListener as StdListener};

use lichenpulley_daemon::http::server::{ServerStop, serve};
use socket2::{SockFilter, SockRef};
use tokio::net::TcpListener;

use one_request::{CALLERS, answer_one, assert_all_answered, send};

fn listen() -> (StdListener, SocketAddr) {
    let listener = StdListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("a non-blocking socket");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

fn begin_close(stop: &ServerStop) {
    stop.draining.cancel();
    stop.closing.cancel();
}

/// Loses each packet that isn't the first of a handshake.
fn lose_ends_of_handshakes(listener: &StdListener) {
    const LOAD_BYTE: u16 = 0x30;
    const JUMP_IF_ANY_SET: u16 = 0x45;
    const RETURN: u16 = 0x06;
    let filter = [
        SockFilter::new(LOAD_BYTE, 0, 0, 13),
        SockFilter::new(JUMP_IF_ANY_SET, 0, 1, 0x02),
        SockFilter::new(RETURN, 0, 0, u32::MAX),
        SockFilter::new(RETURN, 0, 0, 0),
    ];
    SockRef::from(listener).attach_filter(&filter).expect("a filter");
}

/// Guards against resetting a connection whose handshake ends, for the server, after the port has closed.
#[tokio::test]
async fn a_connection_whose_handshake_ends_late_is_answered_when_the_port_closes() {
    let (listener, address) = listen();
    lose_ends_of_handshakes(&listener);
    let listener = TcpListener::from_std(listener).expect("a socket of the runtime");
    let stop = ServerStop::default();
    // The caller's system repeats what is lost after some 200 ms; by then the server's filter is in force.
    let callers: Vec<_> = (0..CALLERS).map(|_| send(address)).collect();
    tokio::spawn(serve(listener, stop.clone(), answer_one));
    begin_close(&stop);
    tokio::task::spawn_blocking(|| assert_all_answered(callers)).await.expect("all callers are answered");
}
