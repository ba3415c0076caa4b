//! Machines with disks that the operator wants emptied.
//!
//! Owns the open retirements; writes to the platform once the owner of the stores' log says that a machine is
//! empty.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use lichenpulley_core::identity::NodeId;
use lichenpulley_platform::objects::{self, Object};
use tokio::sync::mpsc;
use tokio::task::AbortHandle;

use super::client::{MetadataClient, Watched};
use crate::configuration::platform::PlatformError;
use crate::context::Context;

/// Pause after the platform gave no answer. Chosen, not measured: shorter loads a platform that is down.
const RETIREMENTS_RETRY_PAUSE: Duration = Duration::from_millis(300);
/// Pause before a status that was written is looked at again. Chosen, not measured: it only spaces out the
/// writes of statuses.
const SETTLE_PAUSE: Duration = Duration::from_millis(100);

/// Open retirements, as the owner of the stores' log sees them. Dropping it ends its tasks.
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
    /// Begins to watch, where a metadata store is named in the settings.
    pub fn start(context: &Context) -> Self {
        let open = Arc::default();
        let (completed, received) = mpsc::unbounded_channel();
        let mut tasks = Vec::new();
        if let Some(client) = MetadataClient::from_settings(&context.settings) {
            let watch = tokio::spawn(watch(client.clone(), Arc::clone(&open)));
            tasks.push(watch.abort_handle());
            let report = tokio::spawn(report(client, received, Arc::clone(&open)));
            tasks.push(report.abort_handle());
        }
        Self { open, completed, tasks }
    }

    /// Machines that are to be emptied and are not known to be.
    pub fn nodes(&self) -> BTreeSet<NodeId> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// A machine is empty: the platform is told.
    pub fn complete(&self, node: &NodeId) {
        // An error says that no platform is named, and then nothing is open.
        let _ = self.completed.send(node.clone());
    }
}

type Open = Arc<Mutex<BTreeSet<NodeId>>>;

async fn watch(client: MetadataClient, open: Open) {
    let mut objects = BTreeMap::new();
    let mut revision = None;
    loop {
        let round = round(&client, &mut objects, &mut revision).await;
        let nodes = objects.iter().filter(|(_, is_complete)| !**is_complete);
        let nodes = nodes.map(|(name, _): (&String, _)| NodeId::new(name.clone())).collect();
        *open.lock().unwrap_or_else(PoisonError::into_inner) = nodes;
        if let Err(error) = round {
            ::log::debug!(target: "metadata", "Retirements can't be watched: {error}.");
            tokio::time::sleep(RETIREMENTS_RETRY_PAUSE).await;
        }
    }
}

async fn round(
    client: &MetadataClient,
    objects: &mut BTreeMap<String, bool>,
    revision: &mut Option<u64>,
) -> Result<(), PlatformError> {
    let Some(after) = *revision else {
        let list = client.list(objects::RETIREMENTS).await?;
        *objects = list.items.into_iter().map(named).collect();
        *revision = Some(list.at);
        return Ok(());
    };
    match client.watch(objects::RETIREMENTS, after).await? {
        Watched::HistoryGone => *revision = None,
        Watched::Events(events) => {
            for event in events.events {
                let (name, is_complete) = named(event.object);
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

fn named(object: Object) -> (String, bool) {
    let is_complete = objects::is_retirement_complete(&object.status);
    (object.metadata.name, is_complete)
}

/// Writes the statuses of machines that are empty.
async fn report(client: MetadataClient, mut completed: mpsc::UnboundedReceiver<NodeId>, open: Open) {
    while let Some(node) = completed.recv().await {
        let is_open = open.lock().unwrap_or_else(PoisonError::into_inner).contains(&node);
        if !is_open {
            continue;
        }
        match write(&client, &node).await {
            Ok(()) => {
                ::log::info!(target: "metadata", "{node} is empty and may be taken away.");
                open.lock().unwrap_or_else(PoisonError::into_inner).remove(&node);
            }
            Err(error) => {
                ::log::info!(target: "metadata", "The retirement of {node} is not told yet: {error}.")
            }
        }
        tokio::time::sleep(SETTLE_PAUSE).await;
    }
}

async fn write(
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
