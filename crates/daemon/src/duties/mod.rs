//! Duties towards the platform: the calls of their holder, and what each node counts for it.
//!
//! This is the half that makes calls. What a duty is stands in `core::duties`, when one is due in
//! `core::batch::controller`.

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

/// A call without an answer within this time is made again. The platform answers calm calls within some
/// milliseconds. Chosen, not measured: shorter repeats calls that were taken, longer reports a window late.
const DUTY_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// A call has ended.
pub(crate) struct DutyEnded {
    pub(crate) call: DutyCall,
    pub(crate) end: DutyOutcome,
}

/// Makes calls under one epoch.
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

    /// Begins a call; it leaves only while `may_call`, the authority of its holder, holds.
    pub(crate) fn begin(&self, call: DutyCall, may_call: bool) {
        let ends = self.ends.clone();
        let request_future = self.make(&call).filter(|_| may_call);
        tokio::spawn(async move {
            let end = match request_future {
                Some(request_future) => request_future.await,
                None => DutyOutcome::Missed,
            };
            // An error only says that the holder has ended.
            let _ = ends.send(DutyEnded { call, end });
        });
    }

    fn make(&self, call: &DutyCall) -> Option<impl Future<Output = DutyOutcome> + Send + 'static> {
        let address = self.context.settings.duties.platform?;
        let body = match cloud::body(call) {
            Ok(body) => body,
            Err(error) => {
                log::error!(target: "duties", "A call can't be written: {error}.");
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

/// A call that can't be built counts as missed, and is made again: the line says why it never arrives.
fn log_unbuildable(error: &impl std::fmt::Display) {
    log::error!(target: "duties", "A call can't be built: {error}. Mend the platform's address or the node's name.");
}
