//! Endpoint that shows the waiting work of all shards of batch jobs, as their owners report it.

use hyper::{Response, StatusCode};
use lichenpulley_protocol::operator::ShardQueue;

use crate::batch::BatchJobs;
use crate::http::{Body, response};

/// Asks the owners of all shards that this node knows.
pub(super) async fn list(batch: &BatchJobs) -> Response<Body> {
    let shards: Vec<ShardQueue> = batch.queues().await;
    response::json(StatusCode::OK, &shards)
}
