//! Finds the shards that exist, so that a new owner runs them without being asked.

use std::time::Duration;

use lichenpulley_core::identity::ShardId;
use tokio::sync::mpsc;

use crate::context::Context;

/// How often the store replicas are asked which shards they hold.
const INTERVAL: Duration = Duration::from_secs(2);

/// Shards as they are found, until dropped.
pub(super) struct Discovery {
    found: mpsc::Receiver<Vec<ShardId>>,
}

impl Discovery {
    /// Starts to look for shards in the background.
    pub(super) fn start(context: Context) -> Self {
        let (sender, found) = mpsc::channel(1);
        tokio::spawn(async move {
            let mut ticks = tokio::time::interval(INTERVAL);
            loop {
                ticks.tick().await;
                let shards = find_shards(&context).await;
                if sender.send(shards).await.is_err() {
                    return;
                }
            }
        });
        Self { found }
    }

    /// The shards that exist, found some time ago. Safe to drop before it returns.
    pub(super) async fn next(&mut self) -> Vec<ShardId> {
        match self.found.recv().await {
            Some(shards) => shards,
            None => std::future::pending().await,
        }
    }
}

async fn find_shards(_context: &Context) -> Vec<ShardId> {
    Vec::new()
}
