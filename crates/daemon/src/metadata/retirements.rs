//! Machines with disks that the operator retires and whose data must be moved away.
//!
//! Watches the open retirements and writes their status to the platform once the owner of the stores' log
//! reports that a machine is empty.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use lichenpulley_core::identity::NodeId;
use lichenpulley_platform::objects::{self, Object};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::client::{MetadataClient, WatchResult};
use crate::configuration::platform::PlatformError;
use crate::context::Context;

/// Pause after the platform gave no answer.
const RETIREMENTS_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Pause between two writes of statuses.
const STATUS_WRITE_PAUSE: Duration = Duration::from_millis(100);

/// Open retirements, for the owner of the stores' log. Dropping it ends its tasks.
pub struct Retirements {
    open: Arc<Mutex<BTreeSet<NodeId>>>,
    completed: mpsc::UnboundedSender<NodeId>,
    tasks: Vec<AbortHandle>,
}

impl Drop for Retirements {
    fn drop(&mut self) {
        self.tasks.iter().for_each(AbortHandle::abort);
    }
}

impl Retirements {
    /// Starts the tasks that watch retirements and write their status, if the settings name a metadata store.
    pub fn start(context: &Context) -> Self {
        let open = Arc::default();
        let (completed, received) = mpsc::unbounded_channel();
        let mut tasks = Vec::new();
        if let Some(client) = MetadataClient::from_settings(&context.settings) {
            let watch = tokio::spawn(watch(client.clone(), Arc::clone(&open)));
            tasks.push(watch.abort_handle());
            let report = tokio::spawn(write_statuses(client, received, Arc::clone(&open)));
            tasks.push(report.abort_handle());
        }
        Self { open, completed, tasks }
    }

    /// Returns the machines that are to be emptied and are not yet reported as empty.
    pub fn nodes(&self) -> BTreeSet<NodeId> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Reports to the platform that a machine is empty.
    pub fn complete(&self, node: &NodeId) {
        // Sending fails only without a metadata store in the settings, and then no retirement is open.
        let _ = self.completed.send(node.clone());
    }
}

type OpenRetirements = Arc<Mutex<BTreeSet<NodeId>>>;

async fn watch(client: MetadataClient, open: OpenRetirements) {
    let mut objects = BTreeMap::new();
    let mut revision = None;
    loop {
        let result = watch_or_list(&client, &mut objects, &mut revision).await;
        let nodes = objects.iter().filter(|(_, is_complete)| !**is_complete);
        let nodes = nodes.map(|(name, _): (&String, _)| NodeId::new(name.clone())).collect();
        *open.lock().unwrap_or_else(PoisonError::into_inner) = nodes;
        if let Err(error) = result {
            ::log::debug!(target: "metadata", "Watching retirements failed, trying again: {error}.");
            tokio::time::sleep(RETIREMENTS_RETRY_PAUSE).await;
        }
    }
}

async fn watch_or_list(
    client: &MetadataClient,
    objects: &mut BTreeMap<String, bool>,
    revision: &mut Option<u64>,
) -> Result<(), PlatformError> {
    let Some(after) = *revision else {
        let list = client.list(objects::RETIREMENTS).await?;
        *objects = list.items.into_iter().map(name_and_status).collect();
        *revision = Some(list.at);
        return Ok(());
    };
    match client.watch(objects::RETIREMENTS, after).await? {
        WatchResult::HistoryGone => *revision = None,
        WatchResult::Events(events) => {
            for event in events.events {
                let (name, is_complete) = name_and_status(event.object);
                if event.is_removed {
                    objects.remove(&name);
                } else {
                    objects.insert(name, is_complete);
                }
            }
            *revision = Some(events.at);
        }
    }
    Ok(())
}

fn name_and_status(object: Object) -> (String, bool) {
    let is_complete = objects::is_retirement_complete(&object.status);
    (object.metadata.name, is_complete)
}

/// Writes the status of each retirement whose machine is empty.
async fn write_statuses(
    client: MetadataClient,
    mut completed: mpsc::UnboundedReceiver<NodeId>,
    open: OpenRetirements,
) {
    while let Some(node) = completed.recv().await {
        let is_open = open.lock().unwrap_or_else(PoisonError::into_inner).contains(&node);
        if !is_open {
            continue;
        }
        match write_completion(&client, &node).await {
            Ok(()) => {
                ::log::info!(target: "metadata", "{node} is empty and may be removed.");
                open.lock().unwrap_or_else(PoisonError::into_inner).remove(&node);
            }
            Err(error) => {
                ::log::info!(target: "metadata", "The status of the retirement of {node} could not be written: {error}.")
            }
        }
        tokio::time::sleep(STATUS_WRITE_PAUSE).await;
    }
}

async fn write_completion(
    client: &MetadataClient,
    node: &NodeId,
) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let Some(object) = client.read(objects::RETIREMENTS, node.as_str()).await? else { return Ok(()) };
    if objects::is_retirement_complete(&object.status) {
        return Ok(());
    }
    client.write_status(&object, objects::RETIREMENTS, objects::retirement_status(true)).await?;
    Ok(())
}
