//! Tests a closing port while no file descriptor is free. In a file of its own, since it lowers the process's limit.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::AsRawFd;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lichenpulley_daemon::http::server::{ServerStop, serve};
use lichenpulley_daemon::http::{Body, response};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use tokio::net::TcpListener;

const TEST_TIMEOUT: Duration = Duration::from_secs(10);
const CALLERS: usize = 8;
/// Connections that can be accepted at a time.
const FREE_DESCRIPTORS: u64 = 2;
const ONE_REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

async fn answer_one(_: Request<Incoming>) -> Response<Body> {
    response::json(StatusCode::OK, &1)
}

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

/// Lowers the limit so that `count` more descriptors can be opened.
fn leave_descriptors(count: u64) {
    let lowest_free = std::fs::File::open("/dev/null").expect("a descriptor").as_raw_fd();
    let limit = u64::try_from(lowest_free).expect("not negative") + count;
    let maximum = getrlimit(Resource::Nofile).maximum;
    setrlimit(Resource::Nofile, Rlimit { current: Some(limit), maximum }).expect("a lower limit");
}

/// Guards against resetting the queued connections that can't be accepted at once when the port closes.
#[tokio::test]
async fn queued_connections_are_answered_when_the_port_closes_while_few_descriptors_are_free() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let stop = ServerStop::default();
    stop.draining.cancel();
    stop.closing.cancel();
    let callers: Vec<_> = (0..CALLERS).map(|_| send(address)).collect();
    leave_descriptors(FREE_DESCRIPTORS);
    let server = tokio::spawn(serve(listener, stop, answer_one));
    let read = move || callers.into_iter().filter_map(|caller| read_answer(caller).err()).collect::<Vec<_>>();
    let unanswered = tokio::task::spawn_blocking(read).await.expect("all callers are done");
    assert!(unanswered.is_empty(), "{} of {CALLERS}: {unanswered:?}", unanswered.len());
    tokio::time::timeout(TEST_TIMEOUT, server).await.expect("the server ends").expect("without a panic");
}
