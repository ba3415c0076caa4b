//! Tests that a connection which its caller holds for established when a port closes gets a complete response.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener as StdListener, TcpStream};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lichenpulley_daemon::http::server::{ServerStop, serve};
use lichenpulley_daemon::http::{Body, response};
use socket2::{SockFilter, SockRef};
use tokio::net::TcpListener;

const TEST_TIMEOUT: Duration = Duration::from_secs(10);
const CALLERS: usize = 8;
const ONE_REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

async fn answer_one(_: Request<Incoming>) -> Response<Body> {
    response::json(StatusCode::OK, &1)
}

fn listen() -> (StdListener, SocketAddr) {
    let listener = StdListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("a non-blocking socket");
    let address = listener.local_addr().expect("an address");
    (listener, address)
}

/// Sends a request on a new connection.
fn send(address: SocketAddr) -> TcpStream {
    let mut caller = TcpStream::connect(address).expect("a connection");
    caller.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
    caller.write_all(ONE_REQUEST).expect("written");
    caller
}

fn read_answer(mut caller: TcpStream) -> Result<(), String> {
    let mut answer = String::new();
    let read = caller.read_to_string(&mut answer);
    match read {
        Ok(_) if answer.starts_with("HTTP/1.1 200") => Ok(()),
        _ => Err(format!("{read:?}: {answer:?}")),
    }
}

fn assert_all_answered(callers: Vec<TcpStream>) {
    let count = callers.len();
    let unanswered: Vec<_> = callers.into_iter().filter_map(|caller| read_answer(caller).err()).collect();
    assert!(unanswered.is_empty(), "{} of {count}: {unanswered:?}", unanswered.len());
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
