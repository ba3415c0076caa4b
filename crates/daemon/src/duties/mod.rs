//! HTTP calls to the platform for its duties (usage reports and replica scaling), and the usage counts that
//! each node collects for them.
//!
//! `core::duties` defines the duties; `core::batch::controller` decides when a call is due.

pub(crate) mod node_usage;
mod usage;

use std::time::Duration;

use hyper::Method;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use lichenpulley_core::duties::{DutyCall, DutyOutcome};
use lichenpulley_core::identity::Epoch;
use lichenpulley_platform::cloud;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::context::Context;
use crate::http::client::{self, HttpClient};
pub use usage::RunCount;
pub(crate) use usage::{report_usage, wall_time};

/// Timeout of one call to the platform, after which the call is repeated.
const DUTY_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A call that has ended, with its outcome.
pub(crate) struct DutyEnded {
    pub(crate) call: DutyCall,
    pub(crate) end: DutyOutcome,
}

/// Client for duty calls; every call carries one epoch as its fencing token.
pub(crate) struct DutyCalls {
    context: Context,
    http: HttpClient,
    epoch: Epoch,
    ends: mpsc::UnboundedSender<DutyEnded>,
}

impl DutyCalls {
    pub(crate) fn new(context: Context, epoch: Epoch, ends: mpsc::UnboundedSender<DutyEnded>) -> Self {
        let http = HttpClient::new(context.settings.gateway.connect_timeout);
        Self { context, http, epoch, ends }
    }

    /// Starts a call and reports its outcome on the channel given to [`Self::new`]. Where `may_call` is
    /// false, because the holder's authority is not confirmed, nothing is sent and the call counts as missed.
    pub(crate) fn begin(&self, call: DutyCall, may_call: bool) {
        let ends = self.ends.clone();
        let request_future = self.make(&call).filter(|_| may_call);
        tokio::spawn(async move {
            let end = match request_future {
                Some(request_future) => request_future.await,
                None => DutyOutcome::Missed,
            };
            // Sending fails only once the holder has stopped.
            let _ = ends.send(DutyEnded { call, end });
        });
    }

    fn make(&self, call: &DutyCall) -> Option<impl Future<Output = DutyOutcome> + Send + 'static> {
        let address = self.context.settings.duties.platform?;
        let body = match cloud::body(call) {
            Ok(body) => body,
            Err(error) => {
                log::error!(target: "duties", "Failed to encode a duty call: {error}.");
                return None;
            }
        };
        let request = client::build(Method::POST, address, cloud::path(call), body.into());
        let mut request = request.inspect_err(log_unbuildable).ok()?;
        let fields = request.headers_mut();
        fields.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        fields.insert(cloud::HOLDER, self.context.node.as_str().parse().inspect_err(log_unbuildable).ok()?);
        fields.insert(cloud::FENCE, HeaderValue::from(self.epoch.0));
        let http = self.http.clone();
        Some(async move {
            match http.send(address, request, Instant::now() + DUTY_CALL_TIMEOUT).await {
                Ok(answer) if answer.status().is_success() => DutyOutcome::Taken,
                Ok(answer) => {
                    let status = answer.status();
                    log::info!(target: "duties", "The platform refused a call: {status}.");
                    let is_superseded = status.as_u16() == cloud::STATUS_SUPERSEDED;
                    if is_superseded { DutyOutcome::Superseded } else { DutyOutcome::Missed }
                }
                Err(error) => {
                    log::info!(target: "duties", "A call got no answer: {error}.");
                    DutyOutcome::Missed
                }
            }
        })
    }
}

/// Logs why a call could not be built. Such a call counts as missed and is repeated.
fn log_unbuildable(error: &impl std::fmt::Display) {
    log::error!(target: "duties", "Failed to build a duty call: {error}. Correct the platform's address or the node's name.");
}
