//! Queries the load of two replicas by their health path just before a send. The core's `ingress::probing` decides
//! when.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{HOST, HeaderValue};
use hyper::{Method, Request};
use lichenpulley_core::ingress::replica_load::ReplicaLoad;
use lichenpulley_core::ingress::replicas::ReplicaRecord;
use lichenpulley_core::ingress::selection::NoCandidate;
use lichenpulley_platform::headers as names;

use super::caller_request::CallerRequest;
use super::in_flight::InFlightRequest;
use super::{Ingress, headers};

/// Longest time that probes delay a request: less than a tenth of the shortest usual target of 150 ms.
const PROBE_TIMEOUT: Duration = Duration::from_millis(10);
/// Maximum size of the answer of a health path, in bytes.
const MAX_HEALTH_ANSWER_BYTES: usize = 64 << 10;

impl Ingress {
    /// Selects a replica for a request. During a shortage, the load of two candidates is queried for every other request.
    /// Unless both answer in time, selects as without queries.
    pub(super) async fn probe_and_select(
        &self,
        request: &CallerRequest,
        tried: &[String],
    ) -> Result<InFlightRequest, NoCandidate> {
        let Some((path, pair)) = self.replicas_to_probe(request, tried) else {
            return self.select(request, tried);
        };
        let (first, second) = tokio::join!(self.probe(&pair[0], &path), self.probe(&pair[1], &path));
        let showed_load = first.is_some() && second.is_some();
        self.context.metrics.count_probes(if showed_load { "answered" } else { "no_load" });
        {
            let now = self.now();
            let mut selection = self.selection();
            selection.probing.record_probes(&request.service, showed_load, now);
            for (record, load) in pair.iter().zip([first, second]) {
                if let Some(load) = load {
                    selection.selector.record_reported_load(&record.id, load, now);
                    selection.probing.record_answer(&request.service, Some(load.waiting), false, now);
                }
            }
        }
        if !showed_load {
            return self.select(request, tried);
        }
        let selected = self.select_with(request, tried, |selector, query, table, evacuated, now| {
            let among = [pair[0].id.as_str(), pair[1].id.as_str()];
            selector.select_among(&among, query, table, evacuated, now, rand::random())
        })?;
        Ok(InFlightRequest::begin(self, request, selected))
    }

    /// Returns the health path of the service and the two replicas to query; `None` if none are to be queried.
    fn replicas_to_probe(
        &self,
        request: &CallerRequest,
        tried: &[String],
    ) -> Option<(String, [ReplicaRecord; 2])> {
        let routes = self.context.metadata.routes.load_full()?;
        let path = routes.services.get(&request.service)?.health_path.as_ref()?;
        if !self.selection().probing.should_probe(&request.service, self.now()) {
            return None;
        }
        let pair = self.select_with(request, tried, |selector, query, table, evacuated, now| {
            selector.probe_pair(query, table, evacuated, now, rand::random())
        })?;
        Some((path.clone(), pair))
    }

    /// Returns the load that a replica reports by its health path, if it answers in time.
    async fn probe(&self, replica: &ReplicaRecord, path: &str) -> Option<ReplicaLoad> {
        tokio::time::timeout(PROBE_TIMEOUT, self.query_health(replica, path)).await.ok()?
    }

    async fn query_health(&self, replica: &ReplicaRecord, path: &str) -> Option<ReplicaLoad> {
        let mut query = Request::new(Full::new(Bytes::new()));
        *query.method_mut() = Method::GET;
        *query.uri_mut() = path.parse().ok()?;
        let fields = query.headers_mut();
        fields.insert(HOST, HeaderValue::from_str(&replica.address.to_string()).ok()?);
        fields.insert(names::EXPECT_REPLICA, HeaderValue::from_str(&replica.name).ok()?);
        let may_send = || !self.context.metadata.is_closed(replica);
        let exchange = self.pool.send(replica, query, false, PROBE_TIMEOUT, may_send).await.ok()?;
        let (head, body) = exchange.response.into_parts();
        Limited::new(body, MAX_HEALTH_ANSWER_BYTES).collect().await.ok()?;
        self.pool.give_back(exchange.connection, &head.headers);
        headers::reported_load(&head.headers).filter(|_| head.status.is_success())
    }
}
