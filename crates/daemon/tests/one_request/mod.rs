//! Callers that send one request on a new connection, for tests of a port that closes.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lichenpulley_daemon::http::{Body, response};

pub const TEST_TIMEOUT: Duration = Duration::from_secs(10);
pub const CALLERS: usize = 8;
const ONE_REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Handler of a server that answers each request.
pub async fn answer_one(_: Request<Incoming>) -> Response<Body> {
    response::json(StatusCode::OK, &1)
}

/// Sends a request on a new connection.
pub fn send(address: SocketAddr) -> TcpStream {
    let mut caller = TcpStream::connect(address).expect("a connection");
    caller.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
    caller.write_all(ONE_REQUEST).expect("written");
    caller
}

/// Reads all answers and checks that each is whole.
pub fn assert_all_answered(callers: Vec<TcpStream>) {
    let count = callers.len();
    let unanswered: Vec<_> = callers.into_iter().filter_map(|caller| read_answer(caller).err()).collect();
    assert!(unanswered.is_empty(), "{} of {count}: {unanswered:?}", unanswered.len());
}

fn read_answer(mut caller: TcpStream) -> Result<(), String> {
    let mut answer = String::new();
    let read = caller.read_to_string(&mut answer);
    match read {
        Ok(_) if answer.starts_with("HTTP/1.1 200") => Ok(()),
        _ => Err(format!("{read:?}: {answer:?}")),
    }
}
