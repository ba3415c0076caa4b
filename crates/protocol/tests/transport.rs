//! Tests of the codec between nodes: messages survive a round trip, and invalid bytes from a peer can at most close
//! its connection.

use std::io;
use std::time::{Duration, Instant};

use bytes::{BufMut, BytesMut};
use lichenpulley_core::identity::{JobId, NodeId, WeightVersion};
use lichenpulley_protocol::caller::{PullRequest, PullResponse, Sample, Slot, VersionSpan};
use lichenpulley_protocol::internal::{
    CoordinatorRequest, CoordinatorResponse, PeerRequest, PeerResponse, StoreRequest,
};
use lichenpulley_protocol::transport::{FRAME_LIMIT_BYTES, MessageCodec, TransportError};
use proptest::prelude::*;
use tarpc::{ClientMessage, Request, Response, ServerError};
use tokio_util::codec::{Decoder, Encoder};

type ClientCodec = MessageCodec<Response<PeerResponse>, ClientMessage<PeerRequest>>;
type ServerCodec = MessageCodec<ClientMessage<PeerRequest>, Response<PeerResponse>>;

fn request(id: u64, deadline: Instant, message: PeerRequest) -> ClientMessage<PeerRequest> {
    let mut context = tarpc::context::current();
    context.deadline = deadline;
    ClientMessage::Request(Request { context, id, message })
}

/// Encodes a message as a client and decodes it as a server.
fn send_to_server(message: ClientMessage<PeerRequest>) -> ClientMessage<PeerRequest> {
    let mut buffer = BytesMut::new();
    ClientCodec::new().encode(message, &mut buffer).expect("encodes");
    let read = ServerCodec::new().decode(&mut buffer).expect("decodes").expect("a whole frame");
    assert!(buffer.is_empty());
    read
}

/// Encodes a response as a server and decodes it as a client.
fn send_to_client(response: Response<PeerResponse>) -> Response<PeerResponse> {
    let mut buffer = BytesMut::new();
    ServerCodec::new().encode(response, &mut buffer).expect("encodes");
    ClientCodec::new().decode(&mut buffer).expect("decodes").expect("a whole frame")
}

fn pull(job: &str, cursor: u64) -> PeerRequest {
    let pull = PullRequest { cursor, max_samples: 7, trainer_version: WeightVersion(3) };
    PeerRequest::Coordinator { request: CoordinatorRequest::Pull(JobId::new(job), pull) }
}

fn samples(count: u32, tokens: usize) -> PeerResponse {
    let sample = |index| Sample {
        slot: Slot { step: 0, prompt: 0, index },
        prompt: "p".to_owned(),
        tokens: vec![1; tokens],
        spans: vec![VersionSpan { weight_version: WeightVersion(1), first_token: 0, token_count: 1 }],
        reward: 0.5,
    };
    let samples = (0..count).map(sample).collect();
    PeerResponse::Coordinator(CoordinatorResponse::Samples(PullResponse {
        samples,
        next_cursor: u64::from(count),
        finished: false,
    }))
}

proptest! {
    #[test]
    fn a_request_round_trips(id: u64, cursor: u64, job in ".{0,40}") {
        let sent = pull(&job, cursor);
        let deadline = Instant::now() + Duration::from_secs(60);
        let ClientMessage::Request(read) = send_to_server(request(id, deadline, sent.clone())) else {
            return Err(TestCaseError::fail("the request was decoded as another message"));
        };
        prop_assert_eq!(read.id, id);
        prop_assert_eq!(format!("{:?}", read.message), format!("{sent:?}"));
        // The receiver computes the deadline anew, which must not extend it by more than the time in transit.
        prop_assert!(read.context.deadline <= deadline + Duration::from_secs(1));
    }

    #[test]
    fn a_response_round_trips(id: u64, count in 0_u32..20, tokens in 0_usize..200) {
        let sent = samples(count, tokens);
        let read = send_to_client(Response { request_id: id, message: Ok(sent.clone()) });
        prop_assert_eq!(read.request_id, id);
        prop_assert_eq!(format!("{:?}", read.message), format!("{:?}", Ok::<_, ServerError>(sent)));
    }

    #[test]
    fn arbitrary_bytes_do_not_panic_the_codec(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut framed = BytesMut::new();
        framed.put_u32(u32::try_from(bytes.len()).expect("short"));
        framed.extend_from_slice(&bytes);
        drop(ServerCodec::new().decode(&mut framed.clone()));
        drop(ClientCodec::new().decode(&mut framed));
        let mut raw = BytesMut::from(bytes.as_slice());
        drop(ServerCodec::new().decode(&mut raw));
    }

    #[test]
    fn a_truncated_frame_is_incomplete(cut in 0_usize..40) {
        let mut buffer = BytesMut::new();
        let whole = request(1, Instant::now() + Duration::from_secs(1), pull("job", 0));
        ClientCodec::new().encode(whole, &mut buffer).expect("encodes");
        buffer.truncate(buffer.len() - 1 - cut.min(buffer.len() - 1));
        prop_assert!(matches!(ServerCodec::new().decode(&mut buffer), Ok(None)));
    }
}

#[test]
fn a_deadline_that_has_passed_stays_passed() {
    let past = Instant::now();
    let message = PeerRequest::Store { request: StoreRequest::Probe };
    let ClientMessage::Request(read) = send_to_server(request(1, past, message)) else {
        panic!("the request was decoded as another message");
    };
    assert!(read.context.deadline <= Instant::now());
}

#[test]
fn a_deadline_is_limited_to_a_day() {
    let far = Instant::now() + Duration::from_secs(3_600 * 24 * 365);
    let ClientMessage::Request(read) = send_to_server(request(1, far, pull("job", 0))) else {
        panic!("the request was decoded as another message");
    };
    assert!(read.context.deadline <= Instant::now() + Duration::from_secs(3_600 * 24));
}

#[test]
fn a_cancellation_round_trips() {
    let cancel = ClientMessage::Cancel { trace_context: tarpc::trace::Context::default(), request_id: 9 };
    assert!(matches!(send_to_server(cancel), ClientMessage::Cancel { request_id: 9, .. }));
}

#[test]
fn an_oversized_response_fails_its_own_call_only() {
    let tokens = FRAME_LIMIT_BYTES / size_of::<u32>();
    let read = send_to_client(Response { request_id: 4, message: Ok(samples(1, tokens)) });
    assert_eq!(read.request_id, 4);
    let error = read.message.expect_err("too long");
    assert_eq!(error.kind, io::ErrorKind::Other);
    assert!(error.detail.contains("ask for fewer items"), "{}", error.detail);
}

#[test]
fn an_oversized_request_is_not_written() {
    let long = "x".repeat(FRAME_LIMIT_BYTES);
    let message = request(1, Instant::now(), pull(&long, 0));
    let mut buffer = BytesMut::new();
    let error = ClientCodec::new().encode(message, &mut buffer).expect_err("too long");
    assert!(matches!(error, TransportError::FrameTooLong));
    assert!(buffer.is_empty());
}

#[test]
fn a_length_above_the_limit_is_refused_before_its_bytes_arrive() {
    let mut buffer = BytesMut::new();
    buffer.put_u32(u32::try_from(FRAME_LIMIT_BYTES + 1).expect("a length"));
    let error = ServerCodec::new().decode(&mut buffer).expect_err("too long");
    assert!(matches!(error, TransportError::FrameTooLong));
}

#[test]
fn a_node_id_in_a_response_round_trips() {
    let owner = Some(NodeId::new("sando-1"));
    let answer = PeerResponse::Coordinator(CoordinatorResponse::NotOwner(owner.clone()));
    let read = send_to_client(Response { request_id: 1, message: Ok(answer) });
    let Ok(PeerResponse::Coordinator(CoordinatorResponse::NotOwner(read))) = read.message else {
        panic!("the response was decoded as another message");
    };
    assert_eq!(read, owner);
}
