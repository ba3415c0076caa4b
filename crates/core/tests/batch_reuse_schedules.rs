//! Random schedules of jobs that share items, while owners are lost and texts are read late: every listed text
//! is one generation without gaps, with exactly its own versions.

mod batch_support;

use std::collections::{BTreeMap, BTreeSet};

use batch_support::{OwnerHarness, at, job, replica, scorer_replica, table};
use lichenpulley_core::batch::controller::{RunEnd, RunEvent, RunId, RunStart};
use lichenpulley_core::batch::job::{BatchJob, ItemResult, OutputEvent, ScoreRequest};
use lichenpulley_core::batch::ledger::Ledger;
use lichenpulley_core::batch::outline::{EventOutline, OutlineKind};
use lichenpulley_core::batch::record::Record;
use lichenpulley_core::batch::score_plan::ScoreEnd;
use lichenpulley_core::identity::BatchId;
use lichenpulley_core::ingress::replicas::ReplicaRecord;
use proptest::prelude::*;

/// Number of items that the jobs share.
const ITEMS: usize = 4;
/// Number of slots of the replicas that generate texts.
const MAX_ACTIVE_RUNS: usize = 4;
/// Rounds in which all open items must be listed. Each round completes all runs, of which there are few at a time.
const FINISH_ROUNDS: usize = 100;

#[derive(Clone, Debug)]
enum Step {
    Submit {
        first: usize,
        count: usize,
        min_lag: u64,
        scorer: u8,
    },
    Event(usize),
    Complete(usize),
    Score(usize),
    End(usize),
    Commit,
    NextVersion,
    Tick,
    /// The owner is lost with up to this many uncommitted records of its log. The next one reads the log, at
    /// first perhaps without texts.
    Lose {
        kept: usize,
        is_outlined: bool,
    },
    FillTexts,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (0..ITEMS, 1..=ITEMS, 0..3_u64, 0..3_u8)
            .prop_map(|(first, count, min_lag, scorer)| Step::Submit { first, count, min_lag, scorer }),
        12 => (0..8_usize).prop_map(Step::Event),
        3 => (0..8_usize).prop_map(Step::Complete),
        3 => (0..8_usize).prop_map(Step::Score),
        2 => (0..8_usize).prop_map(Step::End),
        6 => Just(Step::Commit),
        1 => Just(Step::NextVersion),
        2 => Just(Step::Tick),
        1 => (0..6_usize, any::<bool>()).prop_map(|(kept, is_outlined)| Step::Lose { kept, is_outlined }),
        2 => Just(Step::FillTexts),
    ]
}

struct Schedule {
    owner: OwnerHarness,
    /// Records of earlier owners.
    log: Vec<Record>,
    /// Number of the owner's records that are committed.
    committed: usize,
    needs_single_version: bool,
    version: u64,
    now_ms: u64,
    jobs: Vec<BatchJob>,
    /// Number of events that each run of this owner has brought.
    events: BTreeMap<RunId, u64>,
    /// Number of all events so far; each has its own serial number.
    serial: u64,
    last_serial: BTreeMap<RunId, u64>,
    /// The event before each event, if the same run brought both.
    previous: BTreeMap<u64, u64>,
    results: BTreeMap<BatchId, Vec<ItemResult>>,
}

fn replicas(version: u64) -> Vec<ReplicaRecord> {
    vec![replica("a", version), replica("b", version), scorer_replica("s")]
}

fn recover(log: &[Record]) -> Ledger {
    let records: Vec<Vec<u8>> = log.iter().map(|record| record.encode().expect("bytes")).collect();
    Ledger::recover(None, &records).expect("a ledger")
}

fn outline(record: &Record) -> Record {
    let (batch, item, events, kind) = match record {
        Record::Progress { batch, item, events } => (batch, item, events, OutlineKind::Progress),
        Record::Completed { batch, item, events } => (batch, item, events, OutlineKind::Completed),
        Record::Generated { batch, item, events, replaces } => {
            (batch, item, events, OutlineKind::Generated { replaces: *replaces })
        }
        other => return other.clone(),
    };
    let events = events.iter().map(|event| EventOutline { number: event.number, version: event.version });
    Record::Outlined { batch: batch.clone(), item: *item, events: events.collect(), kind }
}

impl Schedule {
    fn new(needs_single_version: bool) -> Self {
        Self {
            owner: OwnerHarness::new(Ledger::default(), needs_single_version, &replicas(1)),
            log: Vec::new(),
            committed: 0,
            needs_single_version,
            version: 1,
            now_ms: 0,
            jobs: Vec::new(),
            events: BTreeMap::new(),
            serial: 0,
            last_serial: BTreeMap::new(),
            previous: BTreeMap::new(),
            results: BTreeMap::new(),
        }
    }

    fn play(&mut self, step: &Step) {
        self.now_ms += 10;
        let now = at(self.now_ms);
        match step {
            Step::Submit { first, count, min_lag, scorer } => self.submit(*first, *count, *min_lag, *scorer),
            Step::Event(choice) => self.event(*choice),
            Step::Complete(choice) => {
                let Some(start) = self.run(*choice) else { return };
                if self.events.contains_key(&start.run) {
                    self.owner.end(now, start.run, RunEnd::Complete);
                }
            }
            Step::Score(choice) => {
                let Some(position) = choice.checked_rem(self.owner.scores.len()) else { return };
                let score = format!("seal of {}", self.owner.scores[position].request.id);
                self.owner.score_end(now, position, ScoreEnd::Scored(score));
            }
            Step::End(choice) => {
                let Some(position) = choice.checked_rem(self.jobs.len()) else { return };
                self.owner.controller.end(now, &self.jobs[position].id);
                self.owner.drain_actions();
            }
            Step::Commit => {
                self.owner.commit_appends(now);
                self.committed = self.owner.records.len();
            }
            Step::NextVersion => {
                self.version += 1;
                let replicas = table(&replicas(self.version));
                self.owner.controller.update(now, None, &replicas, &BTreeMap::new());
                self.owner.drain_actions();
            }
            Step::Tick => {
                self.now_ms += 400;
                self.owner.controller.tick(at(self.now_ms));
                self.owner.drain_actions();
            }
            Step::Lose { kept, is_outlined } => self.lose(*kept, *is_outlined),
            Step::FillTexts => {
                self.owner.controller.fill_texts(recover(&self.log));
                self.owner.controller.tick(now);
                self.owner.drain_actions();
            }
        }
        self.check();
    }

    fn submit(&mut self, first: usize, count: usize, min_lag: u64, scorer: u8) {
        let id = format!("job-{}", self.jobs.len());
        let mut job = job(&id, count.min(ITEMS - first), self.version.saturating_sub(min_lag));
        for (item, number) in job.items.iter_mut().zip(first..) {
            item.id = format!("item-{number}");
            item.scorer = (scorer > 0).then(|| ScoreRequest {
                id: format!("score-{number}-{scorer}"),
                host: "host".to_owned(),
                path: "/score/x".to_owned(),
                body: b"text".to_vec(),
            });
        }
        self.jobs.push(job.clone());
        self.owner.controller.submit(at(self.now_ms), job);
        self.owner.drain_actions();
    }

    /// Returns an active run.
    fn run(&self, choice: usize) -> Option<RunStart> {
        let is_active = |start: &&RunStart| !self.owner.stopped.contains(&start.run);
        let active: Vec<&RunStart> = self.owner.started.iter().filter(is_active).collect();
        Some(active[choice.checked_rem(active.len())?].clone())
    }

    fn event(&mut self, choice: usize) {
        let Some(start) = self.run(choice) else { return };
        let count = self.events.entry(start.run).or_default();
        let number = start.last_event.map_or(0, |last| last + 1) + *count;
        *count += 1;
        self.serial += 1;
        if let Some(before) = self.last_serial.insert(start.run, self.serial) {
            self.previous.insert(self.serial, before);
        }
        let data = format!("{number}:{}:{}", self.version, self.serial);
        let event = OutputEvent { number, version: self.version, data };
        self.owner.controller.run_event(at(self.now_ms), start.run, RunEvent::Event(event));
        self.owner.drain_actions();
    }

    fn lose(&mut self, kept: usize, is_outlined: bool) {
        let kept = (self.committed + kept).min(self.owner.records.len());
        self.log.extend(self.owner.records[..kept].iter().cloned());
        let ledger = if is_outlined {
            let outlined: Vec<Record> = self.log.iter().map(outline).collect();
            recover(&outlined)
        } else {
            recover(&self.log)
        };
        self.owner = OwnerHarness::new(ledger, self.needs_single_version, &replicas(self.version));
        self.committed = 0;
        self.events.clear();
        self.last_serial.clear();
        let known = self.owner.controller.ledger();
        self.jobs.retain(|job| known.job(&job.id).is_some());
        // The clock of the owner starts anew.
        self.now_ms = 0;
    }

    fn reused_by_owner(&mut self) -> u64 {
        let counts = self.owner.controller.take_reuse_counts();
        counts.scored + counts.complete + counts.partial
    }

    /// Completes all runs and score requests until every item of the open jobs is listed. Guards against items that
    /// wait for ever because of a text that was reused.
    fn finish(&mut self) {
        for _ in 0..FINISH_ROUNDS {
            self.play(&Step::FillTexts);
            self.play(&Step::Commit);
            for choice in (0..MAX_ACTIVE_RUNS).rev() {
                self.play(&Step::Event(choice));
                self.play(&Step::Complete(choice));
            }
            self.play(&Step::Commit);
            (0..self.owner.scores.len()).for_each(|position| self.play(&Step::Score(position)));
            self.play(&Step::Commit);
            self.play(&Step::Tick);
            if self.unlisted().is_empty() {
                return;
            }
        }
        panic!("items that are never listed: {:?}", self.unlisted());
    }

    /// Returns the open jobs with their numbers of items that are not listed.
    fn unlisted(&self) -> Vec<(BatchId, usize)> {
        let jobs = self.owner.controller.ledger().jobs().iter().filter(|(_, state)| !state.is_ended);
        let left = jobs.map(|(batch, state)| (batch.clone(), state.job.items.len() - state.results.len()));
        left.filter(|(_, left)| *left > 0).collect()
    }

    /// Checks the results that callers can see.
    fn check(&mut self) {
        let ledger = self.owner.controller.ledger();
        for (batch, state) in ledger.jobs().iter().filter(|(batch, _)| !ledger.lacks_texts(batch)) {
            let seen = self.results.entry(batch.clone()).or_default();
            assert_eq!(state.results[..seen.len()], seen[..], "a position of {batch} changed");
            let items: BTreeSet<u32> = state.results.iter().map(|result| result.item).collect();
            assert_eq!(items.len(), state.results.len(), "an item of {batch} is listed twice");
            for result in &state.results[seen.len()..] {
                check_result(&state.job, result, &self.previous, self.needs_single_version);
            }
            *seen = state.results.clone();
        }
    }
}

fn check_result(
    job: &BatchJob,
    result: &ItemResult,
    previous: &BTreeMap<u64, u64>,
    needs_single_version: bool,
) {
    assert!(result.is_complete, "nothing fails in these schedules: {result:?}");
    let mut versions = BTreeSet::new();
    let mut before = None;
    for (line, number) in result.text.split('\n').zip(0..) {
        let parts: Vec<u64> = line.split(':').map(|part| part.parse().expect("a number")).collect();
        assert_eq!(parts[0], number, "a gap or an event that is listed twice: {result:?}");
        assert!(parts[1] >= job.min_version, "a version below {}: {result:?}", job.min_version);
        versions.insert(parts[1]);
        // The first event of a run may follow any text that its owner had; the others follow their run's.
        if let Some(expected) = previous.get(&parts[2]) {
            assert_eq!(before, Some(*expected), "texts of two generations: {result:?}");
        }
        before = Some(parts[2]);
    }
    assert_eq!(result.versions, versions.into_iter().collect::<Vec<_>>());
    assert!(!needs_single_version || result.versions.len() == 1, "{result:?}");
    let request = job.items[result.item as usize].scorer.as_ref();
    assert_eq!(result.score, request.map(|request| format!("seal of {}", request.id)));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]
    #[test]
    fn listed_texts_are_single_generations_with_their_own_versions(
        steps in proptest::collection::vec(step(), 20..160),
        needs_single_version in any::<bool>(),
    ) {
        let mut schedule = Schedule::new(needs_single_version);
        for step in &steps {
            schedule.play(step);
        }
        schedule.play(&Step::Commit);
        schedule.play(&Step::Lose { kept: 0, is_outlined: false });
        schedule.finish();
    }
}

/// Guards against schedules that exercise nothing: this one has every kind of reuse.
#[test]
fn a_fixed_schedule_reuses_texts() {
    let mut schedule = Schedule::new(false);
    let submit = |first, count| Step::Submit { first, count, min_lag: 1, scorer: 1 };
    let steps = [
        submit(0, 3),
        Step::Commit,
        Step::Event(0),
        Step::Complete(0),
        Step::Commit,
        Step::Score(0),
        Step::Commit,
        Step::Event(0),
        Step::Event(1),
        Step::Event(1),
        Step::Complete(0),
        Step::Commit,
        Step::End(0),
        Step::Commit,
        submit(0, 3),
        Step::Commit,
        Step::Event(0),
        Step::Complete(0),
        Step::Commit,
        Step::Score(1),
        Step::Score(2),
        Step::Score(3),
        Step::Commit,
    ];
    steps.iter().for_each(|step| schedule.play(step));
    assert_eq!(schedule.reused_by_owner(), 3);
    assert_eq!(schedule.results[&BatchId::new("job-1")].len(), 3);
}
