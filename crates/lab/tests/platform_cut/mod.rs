//! Streams of a gateway that ends without a planned stop.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use hyper::StatusCode;
use lichenpulley_lab::platform_replica::ReplicaBehaviour;

use crate::platform_system::{PATIENCE, System};

/// More events than a stream here sends before its gateway ends.
const ENDLESS: u64 = u64::MAX / 2;
const STREAMS: usize = 100;
/// The order of the runtime's last steps can't be forced; each round repeats the race for all streams.
const ROUNDS: usize = 16;
const RUN_TIME: Duration = Duration::from_millis(300);
const LAST_CHUNK: &[u8] = b"\r\n0\r\n\r\n";

#[derive(Debug, Default, PartialEq, Eq)]
struct CutStreams {
    begun: usize,
    well_formed: usize,
}

fn open_stream(gateway: SocketAddr) -> TcpStream {
    let mut caller = TcpStream::connect(gateway).expect("a connection");
    caller.set_read_timeout(Some(PATIENCE)).expect("a timeout");
    let request: &[u8] =
        b"POST /stream/x HTTP/1.1\r\nhost: shop.example\r\nattempt-id: s\r\ncontent-length: 1\r\n\r\nx";
    caller.write_all(request).expect("written");
    caller
}

fn read_to_end(mut caller: TcpStream) -> Vec<u8> {
    let mut answer = Vec::new();
    // A stream that breaks off may end with an error.
    let _ = caller.read_to_end(&mut answer);
    answer
}

/// Opens streams at a gateway and stops it like a crash.
async fn cut_streams(system: &mut System, gateway: usize, cut: &mut CutStreams) {
    let address = system.gateway(gateway);
    let readers: Vec<_> = (0..STREAMS)
        .map(|_| open_stream(address))
        .map(|caller| tokio::task::spawn_blocking(move || read_to_end(caller)))
        .collect();
    tokio::time::sleep(RUN_TIME).await;
    system.gateways[gateway] = None;
    for reader in readers {
        let answer = reader.await.expect("no panic");
        cut.begun += usize::from(answer.starts_with(b"HTTP/1.1 200"));
        cut.well_formed += usize::from(answer.ends_with(LAST_CHUNK));
    }
}

/// Guards against a stream that an ending gateway cuts and that its caller takes for whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_that_an_ending_gateway_cuts_never_ends_well_formed() {
    let mut system = System::start(2, ENDLESS).await;
    for replica in &system.replicas {
        replica.set_behaviour(ReplicaBehaviour::Takes(Duration::ZERO));
    }
    let mut cut = CutStreams::default();
    for round in 0..ROUNDS {
        system.call_until(StatusCode::OK, round, "/read/x").await;
        cut_streams(&mut system, round, &mut cut).await;
        system.start_gateway(round + 2).await;
    }
    assert!(cut.begun >= ROUNDS, "{cut:?}");
    assert_eq!(cut.well_formed, 0, "{cut:?}");
}
