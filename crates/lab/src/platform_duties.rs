//! A stand-in for the platform's calls that one node makes at a time: it judges fences, keeps the calls that it took, and fails
//! as it is asked to.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use lichenpulley_platform::cloud;
use serde_json::Value;

use crate::error::LabError;
use crate::http::{self, ANY_PORT, Reply, Server};
use crate::locked::lock;

/// How the stand-in answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Condition {
    /// As it should.
    #[default]
    Well,
    /// It does nothing and says so.
    Busy,
    /// It takes the call, and its answer is lost.
    LosesAnswers,
}

/// A call that was taken.
#[derive(Clone, Debug, PartialEq)]
pub struct TakenCall {
    /// Its path.
    pub path: String,
    /// Who held the duty.
    pub holder: String,
    /// Its fencing token.
    pub fence: u64,
    /// Its body.
    pub body: Value,
}

#[derive(Default)]
struct Taken {
    condition: Condition,
    calls: Vec<TakenCall>,
    /// The highest fence of each path.
    fences: BTreeMap<String, u64>,
}

/// A running stand-in.
pub struct PlatformDuties {
    /// Where it answers.
    pub address: SocketAddr,
    taken: Arc<Mutex<Taken>>,
    _server: Server,
}

/// Starts a stand-in that has taken no call, on a free loopback port.
///
/// # Errors
/// When no port can be had.
pub async fn start() -> Result<PlatformDuties, LabError> {
    let taken: Arc<Mutex<Taken>> = Arc::default();
    let answering = Arc::clone(&taken);
    let handler = move |request| answer(Arc::clone(&answering), request);
    let server = http::serve(ANY_PORT, handler).await?;
    Ok(PlatformDuties { address: server.address, taken, _server: server })
}

impl PlatformDuties {
    /// How it answers from now on.
    pub fn set_condition(&self, condition: Condition) {
        lock(&self.taken).condition = condition;
    }

    /// What it took at a path, in order.
    pub fn taken(&self, path: &str) -> Vec<TakenCall> {
        lock(&self.taken).calls.iter().filter(|call| call.path == path).cloned().collect()
    }
}

async fn answer(taken: Arc<Mutex<Taken>>, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    let field =
        |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned);
    let holder = field(cloud::HOLDER);
    let fence = field(cloud::FENCE).and_then(|fence| fence.parse::<u64>().ok());
    let (Some(holder), Some(fence)) = (holder, fence) else {
        return http::bad_request("the holder or the fence is missing").into();
    };
    let body: Value = match http::read_json(request).await {
        Ok(body) => body,
        Err(refusal) => return refusal.into(),
    };
    let mut taken = lock(&taken);
    if taken.condition == Condition::Busy {
        return http::empty(StatusCode::SERVICE_UNAVAILABLE).into();
    }
    let highest = taken.fences.entry(path.clone()).or_default();
    if fence < *highest {
        return http::empty(StatusCode::CONFLICT).into();
    }
    *highest = fence;
    taken.calls.push(TakenCall { path, holder, fence, body });
    match taken.condition {
        Condition::LosesAnswers => Reply::Hang,
        Condition::Well | Condition::Busy => http::empty(StatusCode::OK).into(),
    }
}
