//! Replays the load of callers that stop reading among callers that read, and checks that the answers kept for them
//! stay bounded while no caller that reads is cut off.

use std::collections::BTreeMap;
use std::time::Duration;

use lichenpulley_core::ingress::unread::{KeptAnswer, UnreadAnswers, UnreadLimit};
use lichenpulley_core::time::Timestamp;

/// The smallest gateway of the deployments.
const MEMORY_BYTES: u64 = 120_000_000;
const PAGE_BYTES: u64 = 1_000_000;
const TICK_MS: u64 = 500;
/// A slow caller takes this much at a time, and then nothing for up to four seconds.
const SLOW_READ_BYTES: u64 = 20_000;
const SLOW_READ_TICKS: u64 = 8;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Pace {
    /// Takes a page within one tick.
    Fast,
    /// Takes a little every four seconds.
    Slow,
    /// Takes nothing.
    Stopped,
}

struct Connection {
    pace: Pace,
    kept: KeptAnswer,
}

struct Outcome {
    most_kept: u64,
    refused: usize,
    aborted: Vec<Pace>,
    served_fast: usize,
}

fn at(tick: u64) -> Timestamp {
    Timestamp::ORIGIN + Duration::from_millis(tick * TICK_MS)
}

/// Replays `seconds` of callers that each ask for one page: in each tick `fast` callers, every fourth tick a slow
/// one, and `stopped` callers that take nothing.
fn replay(limit: UnreadLimit, seconds: u64, fast: u64, stopped: u64) -> Outcome {
    let mut unread = UnreadAnswers::new(limit, at(0));
    let mut open: BTreeMap<u64, Connection> = BTreeMap::new();
    let mut outcome = Outcome { most_kept: 0, refused: 0, aborted: Vec::new(), served_fast: 0 };
    let mut next = 0;
    for tick in 0..seconds * 1_000 / TICK_MS {
        let now = at(tick);
        for connection in open.values_mut() {
            let read = match connection.pace {
                Pace::Fast => PAGE_BYTES,
                Pace::Slow if tick % SLOW_READ_TICKS == 0 => SLOW_READ_BYTES,
                Pace::Slow | Pace::Stopped => 0,
            };
            if read > 0 {
                connection.kept.bytes = connection.kept.bytes.saturating_sub(read);
                connection.kept.progress_at = now;
            }
        }
        outcome.served_fast +=
            open.values().filter(|one| one.pace == Pace::Fast && one.kept.bytes == 0).count();
        open.retain(|_, connection| connection.kept.bytes > 0);
        let sum = |open: &BTreeMap<u64, Connection>| open.values().map(|one| one.kept.bytes).sum::<u64>();
        let slow = u64::from(tick % 4 == 0 && tick < 40);
        let new = (0..fast).map(|_| Pace::Fast);
        let new = new.chain((0..slow).map(|_| Pace::Slow)).chain((0..stopped).map(|_| Pace::Stopped));
        for pace in new {
            if !limit.admits(sum(&open)) {
                outcome.refused += 1;
                continue;
            }
            let kept = KeptAnswer { connection: next, bytes: PAGE_BYTES, progress_at: now };
            open.insert(next, Connection { pace, kept });
            next += 1;
        }
        outcome.most_kept = outcome.most_kept.max(sum(&open));
        unread.observe(now);
        for kept in unread.to_abort(now, sum(&open), open.values().map(|one| one.kept)) {
            let aborted = open.remove(&kept.connection).expect("an open connection");
            outcome.aborted.push(aborted.pace);
        }
    }
    outcome
}

/// Without the bound, the answers kept for stopped callers exceed the machine's memory.
#[test]
fn stopped_callers_exhaust_the_machine_without_the_bound() {
    let unbounded = UnreadLimit { bytes: u64::MAX, ..UnreadLimit::for_memory(MEMORY_BYTES) };
    let outcome = replay(unbounded, 60, 3, 2);
    assert!(outcome.most_kept > MEMORY_BYTES, "{} bytes", outcome.most_kept);
}

/// Fails if the sum is not bounded, if a caller that reads is cut off, or if stopped callers keep all others from
/// being served.
#[test]
fn stopped_callers_are_aborted_and_readers_are_not() {
    let limit = UnreadLimit::for_memory(MEMORY_BYTES);
    let outcome = replay(limit, 60, 3, 2);
    assert!(outcome.most_kept <= limit.bytes + PAGE_BYTES, "{} bytes", outcome.most_kept);
    assert!(!outcome.aborted.is_empty());
    assert!(outcome.aborted.iter().all(|pace| *pace == Pace::Stopped), "{:?}", outcome.aborted);
    assert!(outcome.refused > 0);
    let asked = 60_000 / TICK_MS * 3;
    assert!(outcome.served_fast as u64 * 2 > asked, "{} of {asked} fast callers", outcome.served_fast);
}

/// Fails if anything is refused or aborted below the bound, however long a caller takes nothing.
#[test]
fn nothing_changes_below_the_bound() {
    let limit = UnreadLimit::for_memory(64 * MEMORY_BYTES);
    let outcome = replay(limit, 60, 3, 2);
    assert_eq!((outcome.refused, outcome.aborted.len()), (0, 0));
}

fn kept(connection: u64, bytes: u64, progress_ms: u64) -> KeptAnswer {
    let progress_at = Timestamp::ORIGIN + Duration::from_millis(progress_ms);
    KeptAnswer { connection, bytes, progress_at }
}

fn aborted(connections: &[KeptAnswer], now_ms: u64) -> Vec<u64> {
    let limit = UnreadLimit { bytes: 100, stall_time: Duration::from_secs(5) };
    let unread = UnreadAnswers::new(limit, Timestamp::ORIGIN);
    let sum = connections.iter().map(|one| one.bytes).sum();
    let now = Timestamp::ORIGIN + Duration::from_millis(now_ms);
    let chosen = unread.to_abort(now, sum, connections.iter().copied());
    chosen.into_iter().map(|one| one.connection).collect()
}

#[test]
fn longest_stalled_connections_are_aborted_first_and_no_more_than_needed() {
    let connections = [kept(1, 60, 3_000), kept(2, 60, 1_000), kept(3, 60, 2_000), kept(4, 0, 0)];
    assert_eq!(aborted(&connections, 9_000), [2, 3]);
    // Only the second one has taken nothing for five seconds.
    assert_eq!(aborted(&connections, 6_500), [2]);
    assert_eq!(aborted(&connections, 5_999), [0_u64; 0]);
}

/// Fails if the time for which this process itself was stopped counts as time in which callers took nothing.
#[test]
fn callers_are_not_blamed_for_a_pause_of_the_gateway() {
    let limit = UnreadLimit { bytes: 100, stall_time: Duration::from_secs(5) };
    let mut unread = UnreadAnswers::new(limit, Timestamp::ORIGIN);
    let connections = [kept(1, 200, 0)];
    let mut chosen_at = |now_ms: u64| {
        let now = Timestamp::ORIGIN + Duration::from_millis(now_ms);
        unread.observe(now);
        unread.to_abort(now, 200, connections).len()
    };
    assert_eq!(chosen_at(500), 0);
    for now_ms in (60_000..65_000).step_by(500) {
        assert_eq!(chosen_at(now_ms), 0, "{now_ms}");
    }
    assert_eq!(chosen_at(65_000), 1);
}
