//! What gateways, engines and claim replicas say to each other in a simulation.

use lichenpulley_core::identity::{AttemptId, RequestId};
use lichenpulley_core::request::execution::{EngineEvent, RefusalCause};
use lichenpulley_core::routing::LoadReport;
use lichenpulley_protocol::engine::StreamRequest;

/// One message. Any may be lost, late, doubled or overtaken.
#[derive(Clone, Debug)]
pub enum Message {
    /// A gateway opens a connection.
    Connect(AttemptId),
    /// The engine has accepted it under this number.
    Connected(AttemptId, u64),
    /// A gateway starts a stream on a connection. The engine takes one request from each connection, so that a
    /// doubled message is one request, as over TCP.
    Dispatch(u64, StreamRequest),
    /// The engine refused it before admission.
    Refused(AttemptId, RefusalCause),
    /// The engine answered a start in a way that proves nothing.
    Broken(AttemptId),
    /// A gateway asks for the rest of a stream.
    Resume(AttemptId, u32),
    /// The engine does not have it.
    UnknownStream(AttemptId),
    /// An event of a stream.
    Event(AttemptId, EngineEvent),
    /// A gateway stops a stream.
    Cancel(AttemptId),
    /// A gateway asks for the load; the number comes back.
    AskLoad(u64),
    /// The engine's load.
    Load(u64, LoadReport),
    /// A gateway claims an id for an attempt.
    Claim(RequestId, AttemptId),
    /// Whom the replica has voted for.
    Vote(RequestId, AttemptId),
}
