//! A caller's request with its complete body, and the requests to replicas that are built from it.
//!
//! [`CallerRequest`] holds the head and body, the deadline, the service selected by the route's weights and
//! the allowed regions. Each send, including a retry or a resumed stream, builds a new request from it.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::http::request::Parts;
use hyper::{Request, Response, Uri};
use lichenpulley_core::decision::{Component, Decision};
use lichenpulley_core::identity::TenantName;
use lichenpulley_core::ingress::places::AllowedRegions;
use lichenpulley_core::ingress::routes::{Route, RouteTable};
use lichenpulley_core::ingress::selection::{NoCandidate, StayReason};
use lichenpulley_core::quarantine::{Fingerprint, RequestContent};
use lichenpulley_core::retry::early_moves::EarlyMoveDenial;
use lichenpulley_platform::headers as names;
use tokio::time::Instant;

use super::callers::Caller;
use super::in_flight::InFlightRequest;
use super::refusal::Refusal;
use super::request_body::read_body;
use super::{Ingress, headers, metadata_wait};
use crate::http::Body;
use crate::http::request_body::BodyBounds;
use crate::metrics::Latency;
use crate::quarantine::begin_trial;

/// Deadline of a request whose caller sends none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// A caller's request with its complete body.
pub(super) struct CallerRequest {
    pub(super) parts: Parts,
    pub(super) body: Bytes,
    pub(super) request_id: Option<String>,
    /// The deadline: the earlier of the caller's deadline and the route's timeout.
    pub(super) deadline: Instant,
    /// Response time that the route aims for.
    pub(super) target: Duration,
    pub(super) service: String,
    /// The authenticated caller.
    pub(super) caller: Caller,
    /// The regions in which it may be served.
    pub(super) regions: AllowedRegions,
    /// Identifies the request's content. A repeated request has the same fingerprint, whatever its id.
    pub(super) fingerprint: Fingerprint,
    /// Whether it may be sent to one replica as a trial although it is quarantined.
    pub(super) is_trial: bool,
    /// When the body was complete.
    received_at: Instant,
    /// The version of the configuration by which it was routed.
    configuration_version: u64,
}

impl CallerRequest {
    /// Reads the body of a request and selects the service that it goes to.
    ///
    /// # Errors
    /// Returns the refusal to send to the caller if the body can't be read or the route has no service.
    pub(super) async fn read(
        ingress: &Ingress,
        table: &RouteTable,
        route: &Route,
        caller: Caller,
        request: Request<Incoming>,
    ) -> Result<Self, Response<Body>> {
        let started_at = Instant::now();
        let host = headers::host(&request);
        let (parts, body) = request.into_parts();
        let request_id = headers::text(&parts.headers, names::REQUEST_ID).map(str::to_owned);
        let refuse = |refusal: Refusal| refusal.respond_to(&ingress.context, request_id.as_deref());
        let wanted = headers::requested_timeout(&parts.headers).unwrap_or(DEFAULT_DEADLINE);
        let deadline = started_at + route.timeout.map_or(wanted, |timeout| timeout.min(wanted));
        let bounds = BodyBounds { bytes: table.limits.body_bytes, deadline };
        let body = read_body(&parts, body, bounds, &ingress.context.body_memory).await.map_err(refuse)?;
        let body = body.into_bytes();
        let Some(service) = route.service_at(rand::random()).map(str::to_owned) else {
            return Err(refuse(Refusal::NoReplica));
        };
        let regions = table.allowed_regions(route, caller.tenant());
        let fingerprint = fingerprint(&parts, &host, &caller, &body);
        let (received_at, configuration_version) = (Instant::now(), table.version);
        Ok(Self {
            parts,
            body,
            request_id,
            deadline,
            target: route.target,
            service,
            caller,
            regions,
            fingerprint,
            is_trial: false,
            received_at,
            configuration_version,
        })
    }

    /// Returns the maximum number of sends: the route's limit, or one for a quarantined request. A
    /// quarantined request may be sent once as a trial after [`lichenpulley_core::quarantine::TRIAL_DELAY`].
    pub(super) async fn sends_allowed(&mut self, ingress: &Ingress, route: &Route) -> u32 {
        let quarantine = &ingress.context.quarantine;
        if !quarantine.contains(&self.fingerprint) {
            return route.max_attempts;
        }
        quarantine.record_repeat(self.fingerprint);
        let is_due = quarantine.is_trial_due(&self.fingerprint);
        self.is_trial = is_due && begin_trial(&ingress.context, self.fingerprint).await;
        if self.is_trial {
            let decision = Decision::new(Component::Request, "trial", "held_for_long", self.fingerprint);
            ingress.context.decisions.record(decision);
        }
        1
    }

    /// Waits until the node has read the metadata that routing needs, within the limits of `metadata_wait`.
    pub(super) async fn wait_until_routable(&self, ingress: &Ingress) {
        metadata_wait::wait_until_routable(ingress, self.request_id.as_deref(), self.deadline).await;
    }

    pub(super) fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Returns the time since the body was complete.
    pub(super) fn elapsed(&self) -> Duration {
        self.received_at.elapsed()
    }

    /// Builds the request to one replica. A stream is requested from the event after `last_event`.
    pub(super) fn build(&self, replica: &str, last_event: Option<&str>) -> Request<Full<Bytes>> {
        let mut fields = headers::end_to_end(&self.parts.headers);
        self.caller.replace_identity(&mut fields);
        headers::set_replica_and_deadline(&mut fields, replica, self.remaining());
        // Either the caller's own field or a number, both of which are valid field values.
        if let Some(number) = last_event.and_then(|number| number.parse().ok()) {
            fields.insert(names::LAST_EVENT_ID, number);
        }
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.parts.method.clone();
        *request.uri_mut() = origin_form(&self.parts.uri);
        *request.headers_mut() = fields;
        request
    }

    /// Records a decision about this request and observes the latency so far.
    pub(super) fn record(
        &self,
        ingress: &Ingress,
        in_flight: &InFlightRequest,
        action: &str,
        reason: &str,
        sends: usize,
    ) {
        let subject = self.request_id.as_deref().unwrap_or("-");
        let decision = Decision::new(Component::Request, action, reason, subject)
            .with("replica", &in_flight.replica.id)
            .with("service", &self.service)
            .with("tenant", self.caller.tenant().map_or("none", TenantName::as_str))
            .with("sends", sends)
            .with("milliseconds", in_flight.started_at.elapsed().as_millis())
            .with("remaining_ms", self.remaining().as_millis())
            .with("configuration", self.configuration_version)
            .with("fingerprint", self.fingerprint);
        let is_region_bound = !self.regions.is_all();
        let decision = if is_region_bound { decision.with("regions", &self.regions) } else { decision };
        ingress.context.decisions.record(decision);
        let latency = if action == "stream_begun" { Latency::StreamBegin } else { Latency::Request };
        ingress.context.metrics.observe(latency, action, self.received_at.elapsed());
    }

    /// Records that the request stays at a replica beyond its attempt timeout.
    pub(super) fn record_stay(&self, ingress: &Ingress, replica: &str, reason: StayReason) {
        let subject = self.request_id.as_deref().unwrap_or("-");
        let decision = Decision::new(Component::Request, "stayed", reason.as_str(), subject)
            .with("replica", replica)
            .with("service", &self.service)
            .with("remaining_ms", self.remaining().as_millis());
        ingress.context.decisions.record(decision);
    }

    /// Records that the request moves from a replica to another one to be answered within its target.
    pub(super) fn record_early_move(&self, ingress: &Ingress, from: Option<&String>, to: &str) {
        let subject = self.request_id.as_deref().unwrap_or("-");
        let decision = Decision::new(Component::Request, "moved_early", "answer_overdue", subject)
            .with("replica", from.map_or("-", String::as_str))
            .with("to", to)
            .with("service", &self.service)
            .with("milliseconds", self.elapsed().as_millis())
            .with("remaining_ms", self.remaining().as_millis());
        ingress.context.decisions.record(decision);
    }

    /// Counts that the request does not move early. An exhausted budget is also recorded as a decision; the other
    /// reasons apply to most slow requests of a shortage, and a line for each would displace other lines.
    pub(super) fn record_early_move_denial(&self, ingress: &Ingress, denial: EarlyMoveDenial) {
        ingress.context.metrics.count_early_move_denial(denial);
        if denial != EarlyMoveDenial::BudgetExhausted {
            return;
        }
        let subject = self.request_id.as_deref().unwrap_or("-");
        let decision = Decision::new(Component::Request, "early_move_denied", denial.as_str(), subject)
            .with("service", &self.service)
            .with("milliseconds", self.elapsed().as_millis());
        ingress.context.decisions.record(decision);
    }

    /// Refuses the request because no replica can be selected, and records the reason.
    pub(super) fn refuse_no_candidate(&self, ingress: &Ingress, no_candidate: NoCandidate) -> Response<Body> {
        let subject = self.request_id.as_deref().unwrap_or("-");
        let decision = Decision::new(Component::Request, "nowhere_to_send", no_candidate.as_str(), subject);
        let decision = decision.with("service", &self.service).with("fingerprint", self.fingerprint);
        ingress.context.decisions.record(decision);
        self.refuse(ingress, no_candidate.into())
    }

    pub(super) fn refuse(&self, ingress: &Ingress, refusal: Refusal) -> Response<Body> {
        refusal.respond_with_regions(&ingress.context, self.request_id.as_deref(), &self.regions)
    }
}

/// Computes the fingerprint of the request's content, which is independent of its id.
fn fingerprint(parts: &Parts, host: &str, caller: &Caller, body: &Bytes) -> Fingerprint {
    Fingerprint::of(&RequestContent {
        method: parts.method.as_str(),
        host,
        path: path_and_query(&parts.uri),
        tenant: caller.tenant(),
        body,
    })
}

fn path_and_query(uri: &Uri) -> &str {
    uri.path_and_query().map_or("/", |path| path.as_str())
}

/// Returns the URI in origin form: path and query only.
fn origin_form(uri: &Uri) -> Uri {
    // The path and query of a valid URI always parse.
    path_and_query(uri).parse().unwrap_or_default()
}
