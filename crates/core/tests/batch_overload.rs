//! Replays loads that exceed the slots of a service, and checks which groups are complete in time.

mod batch_support;

use std::time::Duration;

use batch_support::at;
use batch_support::load::{JobOutcome, Load, SLOTS_PER_REPLICA, lengths, trainer_job};
use lichenpulley_core::batch::controller::Submission;
use lichenpulley_core::identity::BatchId;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

const REPLICAS: usize = 8;
const ROUNDS: usize = 4;
const GROUPS: usize = 14;
const ITEMS: usize = 16;
/// Groups of each job that the trainer waits for.
const DESIRED: u64 = 13;
/// The trainers end their jobs at this time after the submission.
const JOB_TIME: Duration = Duration::from_secs(12);

/// The outcomes of all rounds, and the lengths of all submitted items.
struct Outcome {
    trainers: Vec<Vec<JobOutcome>>,
    submitted_ms: Vec<u64>,
}

impl Outcome {
    fn in_time(&self, trainer: usize) -> usize {
        self.trainers[trainer].iter().map(JobOutcome::in_time).sum()
    }

    fn complete(&self, trainer: usize) -> usize {
        self.trainers[trainer].iter().map(|job| job.groups_ms.len()).sum()
    }

    fn all_in_time(&self) -> usize {
        (0..self.trainers.len()).map(|trainer| self.in_time(trainer)).sum()
    }

    fn all_complete(&self) -> usize {
        (0..self.trainers.len()).map(|trainer| self.complete(trainer)).sum()
    }

    /// Returns which share of the items of at least a length were listed.
    fn listed_share(&self, min_length_ms: u64) -> f64 {
        let listed = self.trainers.iter().flatten().flat_map(|job| &job.listed_ms);
        let listed = listed.filter(|length| **length >= min_length_ms).count();
        let submitted = self.submitted_ms.iter().filter(|length| **length >= min_length_ms).count();
        listed as f64 / submitted as f64
    }
}

/// Completes a few items, so that the owner knows how long items take.
fn warm_up(load: &mut Load) {
    load.submit(0, "warm-up", &[vec![400, 600, 800, 1_000]], 1);
    load.run_and_end(&["warm-up"], Duration::from_secs(2));
}

/// Lets one trainer of each priority submit jobs at the same time, several times.
fn replay(priorities: &[u32]) -> Outcome {
    let mut load = Load::new(priorities, REPLICAS);
    warm_up(&mut load);
    let mut outcome = Outcome { trainers: vec![Vec::new(); priorities.len()], submitted_ms: Vec::new() };
    for round in 0..ROUNDS {
        let ids: Vec<String> =
            (0..priorities.len()).map(|trainer| format!("job-{round}-{trainer}")).collect();
        // The seed depends on the round and not on the order, so that both orders serve the same items.
        let mut random = Pcg64Mcg::seed_from_u64(round as u64);
        for (trainer, id) in ids.iter().enumerate() {
            let lengths_ms = lengths(&mut random, GROUPS, ITEMS);
            outcome.submitted_ms.extend(lengths_ms.iter().flatten());
            load.submit(trainer, id, &lengths_ms, DESIRED);
        }
        let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
        let jobs = load.run_and_end(&ids, JOB_TIME);
        jobs.into_iter().zip(&mut outcome.trainers).for_each(|(job, trainer)| trainer.push(job));
    }
    outcome
}

/// With the items of all jobs in one order, the longest first, nearly all groups are complete late together.
#[test]
fn groups_are_complete_in_time_when_jobs_need_almost_twice_the_slots() {
    let (graded, equal) = (replay(&[0, 1, 2]), replay(&[1, 1, 1]));
    let work_ms: u64 = graded.submitted_ms.iter().sum();
    let capacity_ms = ROUNDS as u64 * REPLICAS as u64 * u64::from(SLOTS_PER_REPLICA) * 8_000;
    let load = work_ms as f64 / capacity_ms as f64;
    assert!((1.7..1.9).contains(&load), "the load is {load} of the capacity");
    assert!(graded.all_in_time() * 10 >= graded.all_complete() * 7, "most complete groups are in time");
    assert!(graded.all_in_time() >= 3 * equal.all_in_time().max(1), "far more than in the old order");
    let in_time: Vec<usize> = (0..3).map(|trainer| graded.in_time(trainer)).collect();
    assert!(in_time[0] > in_time[1] && in_time[0] > in_time[2], "the highest level is served best");
    assert!(in_time[2] > 0, "the lowest level completes groups");
    let mut sorted = graded.submitted_ms.clone();
    sorted.sort_unstable();
    let largest = graded.listed_share(sorted[sorted.len() * 9 / 10]);
    let all = graded.listed_share(0);
    assert!(largest >= all / 2.0, "of the largest items {largest} were listed, of all {all}");
}

/// A large job that came first must not take every slot from the jobs of other trainers that follow it.
#[test]
fn a_large_job_that_came_first_leaves_slots_to_smaller_jobs() {
    let in_time = |priorities: &[u32]| {
        let mut load = Load::new(priorities, REPLICAS);
        warm_up(&mut load);
        let mut random = Pcg64Mcg::seed_from_u64(7);
        load.submit(0, "large", &lengths(&mut random, 6 * GROUPS, ITEMS), 6 * DESIRED);
        (0..50).for_each(|_| load.step());
        load.submit(1, "small-1", &lengths(&mut random, 4, ITEMS), 4);
        load.submit(2, "small-2", &lengths(&mut random, 4, ITEMS), 4);
        let jobs = load.run_and_end(&["large", "small-1", "small-2"], JOB_TIME);
        jobs.iter().map(JobOutcome::in_time).collect::<Vec<_>>()
    };
    let graded = in_time(&[1, 1, 0]);
    assert!(graded[0] > 0, "the large job completes groups: {graded:?}");
    assert!(graded[1] >= 3 && graded[2] >= 3, "the small jobs are complete in time: {graded:?}");
    let equal = in_time(&[1, 1, 1]);
    assert_eq!(equal[1] + equal[2], 0, "in the usual order the large job comes first: {equal:?}");
}

/// Priorities alone must not change the order: deployments without a shortage keep the order that they have.
#[test]
fn without_a_shortage_items_start_in_the_usual_order() {
    let starts = |priorities: &[u32]| {
        let mut load = Load::new(priorities, REPLICAS);
        warm_up(&mut load);
        let mut random = Pcg64Mcg::seed_from_u64(3);
        for trainer in 0..3 {
            let id = format!("job-{trainer}");
            load.submit(trainer, &id, &lengths(&mut random, 3, ITEMS), 2);
            (0..10).for_each(|_| load.step());
        }
        load.run_and_end(&["job-0", "job-1", "job-2"], JOB_TIME);
        load.starts
    };
    let graded = starts(&[2, 1, 0]);
    assert!(graded.len() >= 3 * 3 * ITEMS, "all items were started");
    assert_eq!(graded, starts(&[1, 1, 1]));
}

/// Estimates, shares and turns are lost with the owner. The next one must still complete groups in time: it recovers the
/// jobs from the log, and learns from the first items how long they take.
#[test]
fn a_new_owner_detects_the_shortage_again() {
    let priorities = [0, 1, 2];
    let mut load = Load::new(&priorities, REPLICAS);
    warm_up(&mut load);
    let mut random = Pcg64Mcg::seed_from_u64(1);
    let ids = ["job-0", "job-1", "job-2"];
    for (trainer, id) in ids.iter().enumerate() {
        load.submit(trainer, id, &lengths(&mut random, GROUPS, ITEMS), DESIRED);
    }
    (0..100).for_each(|_| load.step());
    let service = |load: &Load| load.harness.controller.queue_report(at(load.now_ms)).services[0].clone();
    assert!(service(&load).is_short);
    let mut load = load.replace_owner(&priorities, REPLICAS);
    assert_eq!(service(&load).drain_ms, None, "nothing was measured");
    assert!(service(&load).is_short, "a usual time is assumed until the first items complete");
    let jobs = load.run_and_end(&ids, Duration::from_secs(6));
    let complete: Vec<usize> = jobs.iter().map(|job| job.groups_ms.len()).collect();
    assert!(complete[0] >= GROUPS / 2 && complete[0] > complete[1], "{complete:?}");
}

/// Submits a job and returns whether it was accepted.
fn is_accepted(load: &mut Load, trainer: usize, id: &str, groups: usize) -> bool {
    let mut random = Pcg64Mcg::seed_from_u64(5);
    let lengths_ms = lengths(&mut random, groups, ITEMS);
    let job = trainer_job(trainer, id, &lengths_ms, groups as u64);
    if load.harness.controller.submit(at(load.now_ms), job.clone()) == Submission::Full {
        load.harness.drain_actions();
        return false;
    }
    load.accept(&job, &lengths_ms);
    true
}

/// Jobs that a trainer submits faster than its share completes them would all be late. Other trainers, and those with
/// one job at a time, must not be refused for it.
#[test]
fn a_job_is_refused_only_if_its_trainers_own_jobs_leave_no_time_for_it() {
    let mut load = Load::new(&[0, 1], REPLICAS);
    warm_up(&mut load);
    assert!(is_accepted(&mut load, 0, "huge", 20 * GROUPS), "however large, if it is the only job");
    assert!(is_accepted(&mut load, 1, "other", GROUPS), "work of other trainers does not count");
    load.step();
    assert!(!is_accepted(&mut load, 0, "second", 1), "the first job takes all of the time");
    let refusal = load.harness.decisions.iter().find(|decision| decision.action == "batch_refused");
    assert_eq!(refusal.expect("a decision").reason, "no_time");
    assert_eq!(load.harness.controller.queue_report(at(load.now_ms)).refused_jobs, 1);
    load.harness.controller.end(at(load.now_ms), &BatchId::new("huge"));
    load.harness.commit_appends(at(load.now_ms));
    assert!(is_accepted(&mut load, 0, "second", 1), "the earlier job has ended");
    assert!(is_accepted(&mut load, 0, "third", 1), "the earlier job is small");
}

/// Late work takes no share from work that can be in time. Guards against a refusal because of another trainer's job
/// that is late already.
#[test]
fn no_job_is_refused_because_of_late_work_of_other_trainers() {
    let mut load = Load::new(&[0, 1], REPLICAS);
    warm_up(&mut load);
    assert!(is_accepted(&mut load, 0, "late", 20 * GROUPS));
    (0..900).for_each(|_| load.step());
    assert!(is_accepted(&mut load, 1, "first", GROUPS));
    load.step();
    let report = load.harness.controller.queue_report(at(load.now_ms));
    let in_time: Vec<u32> =
        report.services[0].trainers.iter().map(|trainer| trainer.groups_in_time).collect();
    assert!(report.services[0].is_short && in_time[0] == 0 && in_time[1] > 0, "{report:?}");
    assert!(is_accepted(&mut load, 1, "second", 1), "all slots serve the first job's groups");
}

#[test]
fn no_job_is_refused_for_time_where_priorities_are_equal() {
    let mut load = Load::new(&[1, 1], REPLICAS);
    warm_up(&mut load);
    assert!(is_accepted(&mut load, 0, "huge", 20 * GROUPS));
    load.step();
    assert!(is_accepted(&mut load, 0, "second", 1));
}
