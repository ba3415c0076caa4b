//! Tests a closing port while no file descriptor is free. In a file of its own, since it lowers the process's limit.

mod one_request;

use std::os::fd::AsRawFd;

use lichenpulley_daemon::http::server::{ServerStop, serve};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use tokio::net::TcpListener;

use one_request::{CALLERS, TEST_TIMEOUT, answer_one, assert_all_answered, send};

/// Connections that can be accepted at a time.
const FREE_DESCRIPTORS: u64 = 2;

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
    tokio::task::spawn_blocking(|| assert_all_answered(callers)).await.expect("all callers are answered");
    tokio::time::timeout(TEST_TIMEOUT, server).await.expect("the server ends").expect("without a panic");
}
