//! The codec between our processes: what goes in comes out, and no bytes of a peer can do more than end a
//! connection.

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

/// What the server reads of what the client wrote.
fn over_the_wire(message: ClientMessage<PeerRequest>) -> ClientMessage<PeerRequest> {
    let mut buffer = BytesMut::new();
    ClientCodec::new().encode(message, &mut buffer).expect("encodes");
    let read = ServerCodec::new().decode(&mut buffer).expect("decodes").expect("a whole frame");
    assert!(buffer.is_empty());
    read
}

/// What the client reads of what the server wrote.
fn answered(response: Response<PeerResponse>) -> Response<PeerResponse> {
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
    fn a_request_arrives_as_it_was_sent(id: u64, cursor: u64, job in ".{0,40}") {
        let sent = pull(&job, cursor);
        let deadline = Instant::now() + Duration::from_secs(60);
        let ClientMessage::Request(read) = over_the_wire(request(id, deadline, sent.clone())) else {
            return Err(TestCaseError::fail("a request became something else"));
        };
        prop_assert_eq!(read.id, id);
        prop_assert_eq!(format!("{:?}", read.message), format!("{sent:?}"));
        // Time passes on the way; a deadline never moves away.
        prop_assert!(read.context.deadline <= deadline + Duration::from_secs(1));
    }

    #[test]
    fn an_answer_arrives_as_it_was_sent(id: u64, count in 0_u32..20, tokens in 0_usize..200) {
        let sent = samples(count, tokens);
        let read = answered(Response { request_id: id, message: Ok(sent.clone()) });
        prop_assert_eq!(read.request_id, id);
        prop_assert_eq!(format!("{:?}", read.message), format!("{:?}", Ok::<_, ServerError>(sent)));
    }

    #[test]
    fn any_bytes_give_a_message_an_error_or_a_wait(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        let mut framed = BytesMut::new();
        framed.put_u32(u32::try_from(bytes.len()).expect("short"));
        framed.extend_from_slice(&bytes);
        drop(ServerCodec::new().decode(&mut framed.clone()));
        drop(ClientCodec::new().decode(&mut framed));
        let mut raw = BytesMut::from(bytes.as_slice());
        drop(ServerCodec::new().decode(&mut raw));
    }

    #[test]
    fn a_frame_cut_short_is_waited_for(cut in 0_usize..40) {
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
    let ClientMessage::Request(read) = over_the_wire(request(1, past, message)) else {
        panic!("a request became something else");
    };
    assert!(read.context.deadline <= Instant::now());
}

#[test]
fn an_endless_deadline_is_cut_to_a_day() {
    let far = Instant::now() + Duration::from_secs(3_600 * 24 * 365);
    let ClientMessage::Request(read) = over_the_wire(request(1, far, pull("job", 0))) else {
        panic!("a request became something else");
    };
    assert!(read.context.deadline <= Instant::now() + Duration::from_secs(3_600 * 24));
}

#[test]
fn a_cancel_arrives() {
    let cancel = ClientMessage::Cancel { trace_context: tarpc::trace::Context::default(), request_id: 9 };
    assert!(matches!(over_the_wire(cancel), ClientMessage::Cancel { request_id: 9, .. }));
}

#[test]
fn an_answer_too_long_fails_its_own_call_only() {
    let tokens = FRAME_LIMIT_BYTES / size_of::<u32>();
    let read = answered(Response { request_id: 4, message: Ok(samples(1, tokens)) });
    assert_eq!(read.request_id, 4);
    let error = read.message.expect_err("too long");
    assert_eq!(error.kind, io::ErrorKind::Other);
    assert!(error.detail.contains("ask for fewer items"), "{}", error.detail);
}

#[test]
fn a_request_too_long_is_not_written() {
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
fn a_node_id_in_an_answer_survives() {
    let owner = Some(NodeId::new("sando-1"));
    let answer = PeerResponse::Coordinator(CoordinatorResponse::NotOwner(owner.clone()));
    let read = answered(Response { request_id: 1, message: Ok(answer) });
    let Ok(PeerResponse::Coordinator(CoordinatorResponse::NotOwner(read))) = read.message else {
        panic!("the answer became something else");
    };
    assert_eq!(read, owner);
}
