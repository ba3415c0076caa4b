//! Tests with real connections that answers which callers do not read stay bounded, and that callers that read are
//! not cut off.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::mpsc::{Receiver, channel};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use lichenpulley_core::ingress::unread::UnreadLimit;
use lichenpulley_daemon::http::events::metered_event_stream;
use lichenpulley_daemon::http::server::{HeadLimits, ServerStop, serve_metered};
use lichenpulley_daemon::http::socket::SocketLimits;
use lichenpulley_daemon::http::unread::{AbortedConnection, ConnectionMeter, UnreadMeter};
use lichenpulley_daemon::http::{Body, response};
use socket2::{Domain, Socket, Type};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const STALL_TIME: Duration = Duration::from_secs(1);
const ANSWER_BYTES: usize = 1 << 20;
const NARROW_BUFFER_BYTES: usize = 16 << 10;
const STOPPED_CALLERS: usize = 6;
/// Three answers, with room for their bookkeeping.
const LIMIT_BYTES: u64 = 3 * (ANSWER_BYTES as u64) + 10_000;
/// With these pauses a slow caller takes more than three stall times for an answer.
const SLOW_READ_BYTES: usize = 16 << 10;
const SLOW_PAUSE: Duration = Duration::from_millis(60);

fn limit(bytes: u64) -> UnreadLimit {
    UnreadLimit { bytes, stall_time: STALL_TIME }
}

/// Serves in a thread with a runtime of its own; returns the address, the meter and the aborted connections.
fn start_server<Handler, Answer>(
    limit: UnreadLimit,
    handler: Handler,
) -> (SocketAddr, UnreadMeter, Receiver<AbortedConnection>)
where
    Handler: Fn(Request<Incoming>) -> Answer + Clone + Send + Sync + 'static,
    Answer: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("a non-blocking socket");
    let address = listener.local_addr().expect("an address");
    let (aborted, aborted_connections) = channel();
    let (sender, meter) = channel();
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
        runtime.block_on(async {
            let listener = TcpListener::from_std(listener).expect("a socket of the runtime");
            let meter = UnreadMeter::new(limit);
            sender.send(meter.clone()).expect("the test waits for the meter");
            let watched = meter.clone();
            tokio::spawn(async move {
                // Sending fails only once the test has ended.
                let report = move |connection| {
                    let _ = aborted.send(connection);
                };
                watched.keep_bounded(CancellationToken::new(), |_| {}, report).await;
            });
            let (stop, limits) = (ServerStop::default(), SocketLimits::default());
            serve_metered(listener, stop, limits, HeadLimits::default, Some(meter), handler).await;
        });
    });
    (address, meter.recv().expect("the meter"), aborted_connections)
}

/// Answers as the gateway does: the meter of the connection counts the response.
async fn answer_long(request: Request<Incoming>) -> Response<Body> {
    let meter = request.extensions().get::<ConnectionMeter>().cloned().expect("a metered connection");
    let mut answer = response::text(StatusCode::OK, "x".repeat(ANSWER_BYTES));
    answer.headers_mut().insert("connection", hyper::header::HeaderValue::from_static("close"));
    meter.keep_response(answer)
}

/// Sends a request on a connection whose receive buffer is small, and reads nothing.
fn ask(address: SocketAddr) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.set_recv_buffer_size(NARROW_BUFFER_BYTES).expect("a small buffer");
    socket.connect(&address.into()).expect("a connection");
    let mut stream = TcpStream::from(socket);
    stream.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
    stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").expect("written");
    stream
}

/// Reads to the end, with a pause before each read; returns the length of the body.
fn read_answer(mut stream: TcpStream, pause: Duration) -> std::io::Result<usize> {
    let mut answer = Vec::new();
    let mut buffer = [0; SLOW_READ_BYTES];
    loop {
        std::thread::sleep(pause);
        match stream.read(&mut buffer)? {
            0 => break,
            length => answer.extend_from_slice(&buffer[..length]),
        }
    }
    let head = answer.windows(4).position(|end| end == b"\r\n\r\n").expect("a complete head");
    Ok(answer.len() - head - 4)
}

fn wait_until(condition: impl Fn() -> bool, what: &str) {
    let began = Instant::now();
    while !condition() {
        assert!(began.elapsed() < TEST_TIMEOUT, "{what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Fails if the bytes kept for stopped callers are not bounded, if more connections are aborted than needed, or if a
/// caller that reads slowly is cut off.
#[test]
fn stopped_callers_are_aborted_and_slow_ones_read_everything() {
    let (address, meter, aborted) = start_server(limit(LIMIT_BYTES), answer_long);
    let slow = std::thread::spawn(move || read_answer(ask(address), SLOW_PAUSE));
    let stopped: Vec<TcpStream> = (0..STOPPED_CALLERS).map(|_| ask(address)).collect();
    wait_until(|| !meter.admits(), "the sum exceeds the bound");
    wait_until(|| meter.admits(), "connections are aborted until the sum is within the bound");
    assert_eq!(slow.join().expect("no panic").expect("a complete answer"), ANSWER_BYTES);
    // A caller that reads at its usual pace is served while others have stopped.
    assert_eq!(read_answer(ask(address), Duration::ZERO).expect("a complete answer"), ANSWER_BYTES);
    let aborted: Vec<AbortedConnection> = aborted.try_iter().collect();
    let peers: Vec<SocketAddr> = aborted.iter().filter_map(|connection| connection.peer).collect();
    assert_eq!(aborted.len(), STOPPED_CALLERS + 1 - 3, "{aborted:?}");
    assert!(aborted.iter().all(|connection| connection.stalled_for >= STALL_TIME), "{aborted:?}");
    let mut complete = 0;
    for stream in stopped {
        let is_aborted = peers.contains(&stream.local_addr().expect("an address"));
        let is_complete = read_answer(stream, Duration::ZERO).is_ok_and(|length| length == ANSWER_BYTES);
        assert_ne!(is_aborted, is_complete);
        complete += usize::from(is_complete);
    }
    assert_eq!(complete, 2, "connections within the bound are left alone");
    wait_until(|| meter.kept_bytes() == 0, "nothing is kept once everything is read");
}

/// Fails if the events that wait for a caller are not counted, or stay in memory after its connection was aborted.
#[test]
fn stream_that_is_not_read_is_aborted_and_its_events_are_freed() {
    const EVENT_BYTES: usize = 4_000;
    let answer = |request: Request<Incoming>| async move {
        let meter = request.extensions().get::<ConnectionMeter>().cloned();
        let (events, response) = metered_event_stream(64, meter);
        tokio::spawn(async move {
            let event = "x".repeat(EVENT_BYTES);
            while events.send(&event).await.is_ok() {}
        });
        response
    };
    let (address, meter, aborted) = start_server(limit(64 * EVENT_BYTES as u64), answer);
    let mut stopped = ask(address);
    wait_until(|| !meter.admits(), "the events are counted");
    let connection = aborted.recv_timeout(TEST_TIMEOUT).expect("the connection is aborted");
    assert_eq!(connection.peer, Some(stopped.local_addr().expect("an address")));
    wait_until(|| meter.kept_bytes() == 0, "the events are freed");
    let mut rest = Vec::new();
    let end = stopped.read_to_end(&mut rest);
    assert!(end.is_err(), "the caller must not take the part for the whole: {end:?}");
}

/// Fails if a caller below the bound is aborted.
#[test]
fn caller_below_the_bound_may_stop_reading_for_long() {
    let (address, meter, aborted) = start_server(limit(LIMIT_BYTES), answer_long);
    let stopped = ask(address);
    wait_until(|| meter.kept_bytes() > ANSWER_BYTES as u64, "the answer is counted");
    std::thread::sleep(STALL_TIME * 3);
    assert!(meter.admits());
    assert_eq!(aborted.try_iter().count(), 0);
    assert_eq!(read_answer(stopped, Duration::ZERO).expect("a complete answer"), ANSWER_BYTES);
}

/// Fails if the progress of a slow caller is hidden by the buffers of the kernels: without a limit of what the sender's
/// kernel takes ahead, it takes nothing further until megabytes are read.
#[test]
fn caller_that_reads_slowly_from_large_buffers_is_not_cut_off() {
    const LONG_ANSWER_BYTES: usize = 24 << 20;
    const SLOW_PERIOD: Duration = Duration::from_secs(5);
    let answer = |request: Request<Incoming>| async move {
        let meter = request.extensions().get::<ConnectionMeter>().cloned().expect("a metered connection");
        meter.keep_response(response::text(StatusCode::OK, "x".repeat(LONG_ANSWER_BYTES)))
    };
    let (address, meter, aborted) = start_server(limit(LONG_ANSWER_BYTES as u64 / 2), answer);
    let mut caller = TcpStream::connect(address).expect("a connection");
    caller.set_read_timeout(Some(TEST_TIMEOUT)).expect("a timeout");
    caller.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").expect("written");
    let mut buffer = vec![0; 64 << 10];
    let mut read = 0;
    let began = Instant::now();
    while began.elapsed() < SLOW_PERIOD {
        read += caller.read(&mut buffer).expect("the answer goes on");
        std::thread::sleep(Duration::from_millis(100));
    }
    assert!(!meter.admits(), "the sum is above the bound all the time");
    assert_eq!(aborted.try_iter().count(), 0);
    while read < LONG_ANSWER_BYTES {
        read += caller.read(&mut buffer).expect("the answer goes on");
    }
}
