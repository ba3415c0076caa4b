//! `queue`: shows the waiting work of batch jobs, by service, priority and trainer.

use lichenpulley_core::batch::queue_report::{QueueReport, ServiceQueue, TrainerQueue};
use lichenpulley_protocol::operator::ShardQueue;

use crate::client::Client;
use crate::error::CliError;
use crate::output::Output;
use crate::table::Table;

/// Shows the waiting work that the owners of the batch jobs report, of one service if it is given.
///
/// # Errors
/// See [`CliError`].
pub async fn list(client: &Client, service: Option<&str>, output: &mut Output<'_>) -> Result<(), CliError> {
    let mut shards: Vec<ShardQueue> = client.get("/v1/queue").await?;
    for report in shards.iter_mut().filter_map(|shard| shard.report.as_mut()) {
        report.services.retain(|queue| service.is_none_or(|service| service == queue.service));
    }
    output.result(&shards, || describe(&shards))
}

fn describe(shards: &[ShardQueue]) -> String {
    let mut owners = Table::new(&["SHARD", "REGIONS", "OWNER", "STATE", "REFUSED JOBS"]);
    let mut services = Table::new(&["SHARD", "SERVICE", "SLOTS", "USED", "DRAIN MS", "SHORTAGE"]);
    let mut trainers = Table::new(&[
        "SERVICE",
        "PRIORITY",
        "TENANT",
        "ROUTE",
        "MODEL",
        "JOBS",
        "RUNNING",
        "WAITING",
        "IN TIME",
        "LATE",
        "SURPLUS",
        "OLDEST MS",
        "SHARE %",
    ]);
    for shard in shards {
        owners.row(owner_row(shard));
        for queue in shard.report.iter().flat_map(|report| &report.services) {
            services.row(service_row(shard, queue));
            let mut by_priority: Vec<&TrainerQueue> = queue.trainers.iter().collect();
            by_priority.sort_by_key(|trainer| trainer.priority);
            by_priority.into_iter().for_each(|trainer| trainers.row(trainer_row(queue, trainer)));
        }
    }
    [owners, services, trainers].map(|table| table.render()).join("\n")
}

fn owner_row(shard: &ShardQueue) -> Vec<String> {
    let refused = |report: &QueueReport| report.refused_jobs.to_string();
    vec![
        shard.shard.clone(),
        shard.regions.clone(),
        or_dash(shard.owner.as_ref()),
        if shard.report.is_some() { "reported" } else { "unknown" }.to_owned(),
        shard.report.as_ref().map_or_else(|| "-".to_owned(), refused),
    ]
}

fn service_row(shard: &ShardQueue, queue: &ServiceQueue) -> Vec<String> {
    vec![
        shard.shard.clone(),
        queue.service.clone(),
        queue.slots.to_string(),
        queue.used_slots.to_string(),
        or_dash(queue.drain_ms),
        if queue.is_short { "yes" } else { "no" }.to_owned(),
    ]
}

fn trainer_row(queue: &ServiceQueue, trainer: &TrainerQueue) -> Vec<String> {
    let mut row = vec![
        queue.service.clone(),
        trainer.priority.to_string(),
        or_dash(trainer.tenant.as_ref()),
        trainer.route.clone(),
        or_dash(trainer.model.as_ref()),
    ];
    let counts = [
        trainer.jobs,
        trainer.running,
        trainer.waiting,
        trainer.groups_in_time,
        trainer.groups_late,
        trainer.groups_surplus,
    ];
    row.extend(counts.map(|count| count.to_string()));
    row.extend([trainer.oldest_waiting_ms.to_string(), trainer.share_percent.to_string()]);
    row
}

fn or_dash(value: Option<impl ToString>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| value.to_string())
}
