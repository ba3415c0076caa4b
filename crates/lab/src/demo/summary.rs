//! What the demonstration ends in.

use std::collections::BTreeMap;
use std::fmt;

use lichenpulley_core::decision::Decision;
use lichenpulley_protocol::caller::{JobSpecification, JobStatus};
use serde::Serialize;

use super::decision_tally::DecisionCount;
use super::job::samples_per_step;
use super::live::LiveSummary;
use crate::error::LabError;
use crate::load::CallOutcome;
use crate::trainer::TrainerReport;

const MICROS_PER_MILLI: u64 = 1_000;

/// The summary.
#[derive(Clone, Debug, Serialize)]
pub struct DemoSummary {
    /// The job.
    pub specification: JobSpecification,
    /// Whether the job was done in time.
    pub in_time: bool,
    /// What the trainer saw.
    pub trainer: TrainerReport,
    /// How the job's owner sees it at the end.
    pub status: Option<JobStatus>,
    /// Live requests by pool.
    pub live: Vec<LiveSummary>,
    /// Decisions by component, action and reason.
    pub decisions: Vec<DecisionCount>,
}

impl DemoSummary {
    /// Fails where something was lost, doubled, too old or wrong, or the job was not done in time.
    ///
    /// # Errors
    /// [`LabError::CheckFailed`] with everything that does not hold.
    pub fn check(&self) -> Result<(), LabError> {
        let problems = self.problems();
        if problems.is_empty() {
            return Ok(());
        }
        Err(LabError::CheckFailed(format!("the demonstration failed: {}", problems.join("; "))))
    }

    fn problems(&self) -> Vec<String> {
        let trainer = &self.trainer;
        let mut problems = Vec::new();
        if !self.in_time {
            problems.push("the job was not done in time".to_owned());
        }
        let live = |outcome| self.live.iter().map(|pool| pool.report.count(outcome)).sum::<u64>();
        let counts = [
            (trainer.lost, "samples were lost"),
            (trainer.doubled, "samples were doubled"),
            (trainer.stale, "samples were older than the bound"),
            (trainer.without_versions, "samples did not name the weights of every token"),
            (live(CallOutcome::Wrong), "live answers were wrong or cut short"),
        ];
        let failed = counts.iter().filter(|(count, _)| *count > 0);
        problems.extend(failed.map(|(count, what)| format!("{count} {what}")));
        if live(CallOutcome::Completed) == 0 {
            problems.push("no live request was answered".to_owned());
        }
        problems
    }
}

impl fmt::Display for DemoSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_samples(formatter)?;
        self.write_trainer(formatter)?;
        self.write_live(formatter)?;
        self.write_decisions(formatter)?;
        match self.check() {
            Ok(()) => write!(formatter, "Everything that must hold held."),
            Err(error) => write!(formatter, "{error}"),
        }
    }
}

impl DemoSummary {
    fn write_samples(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let job = &self.specification;
        let trainer = &self.trainer;
        writeln!(
            formatter,
            "Samples of job {}: {} steps of {}, staleness bound {}",
            job.job,
            job.steps,
            samples_per_step(job),
            job.staleness_bound
        )?;
        writeln!(
            formatter,
            "  delivered {}   lost {}   doubled {}   older than the bound {}   without versions {}",
            trainer.samples, trainer.lost, trainer.doubled, trainer.stale, trainer.without_versions
        )?;
        let versions: Vec<String> =
            trainer.versions.iter().map(|(version, count)| format!("version {version}: {count}")).collect();
        writeln!(formatter, "  by the oldest weights in them   {}", versions.join(", "))?;
        writeln!(
            formatter,
            "  staleness in versions   p50 {}   p99 {}   max {}",
            percentile(&trainer.staleness, 50),
            percentile(&trainer.staleness, 99),
            percentile(&trainer.staleness, 100)
        )?;
        if let Some(status) = &self.status {
            writeln!(formatter, "  generated anew because they had grown too old   {}", status.reopened)?;
        }
        writeln!(formatter)
    }

    fn write_trainer(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let trainer = &self.trainer;
        writeln!(formatter, "Trainer")?;
        writeln!(
            formatter,
            "  idle {} ms, training {} ms: idle {:.0} % of the time\n",
            trainer.idle_ms,
            trainer.training_ms,
            trainer.idle_share() * 100.0
        )
    }

    fn write_live(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "Live requests")?;
        for pool in &self.live {
            let report = &pool.report;
            let outcomes: Vec<String> = report
                .outcomes
                .iter()
                .map(|(outcome, count)| format!("{} {count}", name(*outcome)))
                .collect();
            writeln!(
                formatter,
                "  pool {:10} {}   p50 {} ms   p99 {} ms",
                pool.pool.as_str(),
                outcomes.join("   "),
                report.whole.p50_us / MICROS_PER_MILLI,
                report.whole.p99_us / MICROS_PER_MILLI
            )?;
        }
        writeln!(formatter)
    }

    fn write_decisions(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "Decisions by reason, with the first of each")?;
        for decision in &self.decisions {
            let what = format!("{}: {}", decision.kind.component.as_str(), decision.kind.action);
            writeln!(
                formatter,
                "  {:>6}  {what:32} {:28} {}",
                decision.count,
                decision.kind.reason,
                describe(&decision.example)
            )?;
        }
        writeln!(formatter)
    }
}

const fn name(outcome: CallOutcome) -> &'static str {
    match outcome {
        CallOutcome::Completed => "completed",
        CallOutcome::Wrong => "wrong",
        CallOutcome::NotRun => "not run",
        CallOutcome::Unknown => "unknown",
        CallOutcome::Failed => "failed",
        CallOutcome::NoAnswer => "unanswered",
    }
}

fn describe(example: &Decision) -> String {
    let inputs: Vec<String> =
        example.inputs.iter().map(|input| format!("{}={}", input.name, input.value)).collect();
    format!("{} {}", example.subject, inputs.join(" ")).trim_end().to_owned()
}

/// The smallest value that so many of a hundred counted ones do not exceed; 0 where none was counted.
fn percentile(counts: &BTreeMap<u64, u64>, percent: u64) -> u64 {
    let total: u64 = counts.values().sum();
    let wanted = (total * percent).div_ceil(100);
    let mut seen = 0;
    for (&value, &count) in counts {
        seen += count;
        if seen >= wanted {
            return value;
        }
    }
    0
}
