//! Divides the memory for request bodies among the requests whose bodies arrive, wait for a replica or are being
//! forwarded.
//!
//! Load pattern: callers outside the operator's control send many bodies of the allowed size at once, whole or most of
//! each, and keep their connections open; together they exceed the machine's memory many times.
//!
//! Memory is taken as bytes arrive, so that an announced length holds nothing. A body that finds no memory takes that of
//! bodies that are behind ([`super::lag`]) and more so than itself: those are evicted, and their callers told that their
//! requests did not run. Otherwise it is refused itself. Nothing waits for memory, save for that of an evicted body. A
//! whole body is never evicted, since its request may be running. Short bodies have memory of their own, which long ones
//! can't take.

use std::collections::BTreeMap;

use super::lag;
use crate::time::Timestamp;

/// Longest short body, in bytes.
pub const SHORT_BODY_BYTES: u64 = 256 << 10;
/// Divisor of the machine's memory for short bodies.
const SHORT_DIVISOR: u64 = 8;
/// Percentage of the machine's memory for long bodies. The rest is for the process itself, answers and batch jobs.
const LONG_PERCENT: u64 = 40;
/// Percentage of the machine's memory for a long body while there is no other, less what accepted jobs hold: a job takes
/// several times its length until it is accepted.
const SINGLE_LONG_PERCENT: u64 = 62;
/// Least memory for a long body while there is no other: that of the smallest machine that the settings allow.
const MIN_SINGLE_LONG_BYTES: u64 = 16_000_000 / 100 * SINGLE_LONG_PERCENT;

/// The memory for bodies, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyLimit {
    /// Memory for bodies of up to [`SHORT_BODY_BYTES`].
    pub short: u64,
    /// Memory for longer ones.
    pub long: u64,
    /// Memory for a longer one while there is no other, together with accepted jobs.
    pub single_long: u64,
}

impl BodyLimit {
    /// Returns the limit for a machine with this memory.
    pub fn for_memory(memory_bytes: u64) -> Self {
        Self {
            short: memory_bytes / SHORT_DIVISOR,
            long: memory_bytes / 100 * LONG_PERCENT,
            single_long: (memory_bytes / 100 * SINGLE_LONG_PERCENT).max(MIN_SINGLE_LONG_BYTES),
        }
    }
}

/// Identifies a body within its budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BodyNumber(u64);

/// What becomes of a body that needs more memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Growth {
    /// It has the memory.
    Granted,
    /// It has to ask again once these bodies and those evicted earlier have returned their memory.
    AfterEviction(Vec<BodyNumber>),
    /// It can't have it now. Its request is refused.
    Refused,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pool {
    Short,
    Long,
}

/// Memory that the bodies of one pool hold, in bytes.
#[derive(Clone, Copy, Debug, Default)]
struct PoolUse {
    held: u64,
    /// The part of it that evicted bodies are about to return.
    leaving: u64,
}

#[derive(Clone, Debug)]
struct Body {
    /// Memory that it holds.
    held_bytes: u64,
    received_bytes: u64,
    on_time_until: Timestamp,
    is_arriving: bool,
    is_evicted: bool,
}

impl Body {
    const fn pool(&self) -> Pool {
        pool_of(self.held_bytes)
    }

    fn record_received(&mut self, received_bytes: u64, now: Timestamp) {
        let new_bytes = received_bytes.saturating_sub(self.received_bytes);
        self.on_time_until = lag::advance(self.on_time_until, new_bytes, now);
        self.received_bytes = received_bytes;
    }
}

const fn pool_of(bytes: u64) -> Pool {
    if bytes <= SHORT_BODY_BYTES { Pool::Short } else { Pool::Long }
}

/// The memory for bodies and who holds it.
///
/// Invariants: the bodies hold no more than the limit; only bodies that are arriving and behind are evicted, and only if
/// another body that is less behind, or whole, gets the memory.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    limit: BodyLimit,
    bodies: BTreeMap<BodyNumber, Body>,
    short: PoolUse,
    long: PoolUse,
    /// Bytes of accepted jobs.
    job_bytes: u64,
    next_number: u64,
}

impl BodyBudget {
    /// Creates a budget with this limit.
    pub fn new(limit: BodyLimit) -> Self {
        let (short, long) = (PoolUse::default(), PoolUse::default());
        Self { limit, bodies: BTreeMap::new(), short, long, job_bytes: 0, next_number: 0 }
    }

    /// Adds a body that begins to arrive and holds nothing yet.
    pub fn begin(&mut self, now: Timestamp) -> BodyNumber {
        let number = BodyNumber(self.next_number);
        self.next_number += 1;
        let body = Body {
            held_bytes: 0,
            received_bytes: 0,
            on_time_until: now,
            is_arriving: true,
            is_evicted: false,
        };
        self.bodies.insert(number, body);
        number
    }

    /// Changes the bytes of accepted jobs.
    pub const fn replace_job_bytes(&mut self, old_bytes: u64, new_bytes: u64) {
        self.job_bytes = self.job_bytes.saturating_sub(old_bytes) + new_bytes;
    }

    /// Returns the memory that all bodies hold, in bytes.
    pub const fn held_bytes(&self) -> u64 {
        self.short.held + self.long.held
    }

    /// Raises the memory of a body to `bytes`. By now `received_bytes` of it have arrived.
    pub fn grow(&mut self, number: BodyNumber, bytes: u64, received_bytes: u64, now: Timestamp) -> Growth {
        let Some(body) = self.bodies.get_mut(&number).filter(|body| !body.is_evicted) else {
            return Growth::Refused;
        };
        body.record_received(received_bytes, now);
        let (held_bytes, held_in) = (body.held_bytes, body.pool());
        let pool = pool_of(bytes);
        let others = self.pool(pool).held - if held_in == pool { held_bytes } else { 0 };
        if bytes <= held_bytes {
            return Growth::Granted;
        }
        if others + bytes <= self.limit(pool, others) {
            self.set_held(number, bytes);
            return Growth::Granted;
        }
        self.evict_for(number, bytes, others - self.pool(pool).leaving, now)
    }

    /// Records that a body is whole: it is not evicted from now on. Returns whether it has not been evicted before.
    pub fn complete(&mut self, number: BodyNumber) -> bool {
        match self.bodies.get_mut(&number) {
            Some(body) if !body.is_evicted => {
                body.is_arriving = false;
                true
            }
            _ => false,
        }
    }

    /// Returns the memory of a body.
    pub fn release(&mut self, number: BodyNumber) {
        let Some(body) = self.bodies.remove(&number) else { return };
        let pool = self.pool_mut(body.pool());
        pool.held -= body.held_bytes;
        if body.is_evicted {
            pool.leaving -= body.held_bytes;
        }
    }

    fn set_held(&mut self, number: BodyNumber, bytes: u64) {
        let Some(body) = self.bodies.get_mut(&number) else { return };
        let (old_bytes, old_pool) = (body.held_bytes, body.pool());
        body.held_bytes = bytes;
        self.pool_mut(old_pool).held -= old_bytes;
        self.pool_mut(pool_of(bytes)).held += bytes;
    }

    const fn pool(&self, pool: Pool) -> PoolUse {
        match pool {
            Pool::Short => self.short,
            Pool::Long => self.long,
        }
    }

    const fn pool_mut(&mut self, pool: Pool) -> &mut PoolUse {
        match pool {
            Pool::Short => &mut self.short,
            Pool::Long => &mut self.long,
        }
    }

    fn limit(&self, pool: Pool, others: u64) -> u64 {
        match pool {
            Pool::Short => self.limit.short,
            Pool::Long if others == 0 => {
                self.limit.long.max(self.limit.single_long.saturating_sub(self.job_bytes))
            }
            Pool::Long => self.limit.long,
        }
    }

    /// Evicts the bodies that are the furthest behind, if that makes room for this one. `others` is what the others hold
    /// without what is about to be returned.
    fn evict_for(&mut self, number: BodyNumber, bytes: u64, mut others: u64, now: Timestamp) -> Growth {
        let pool = pool_of(bytes);
        let has_room = |others: u64| others + bytes <= self.limit(pool, others);
        let mut evicted = Vec::new();
        for candidate in self.candidates(number, pool, now) {
            if has_room(others) || candidate == number {
                break;
            }
            others -= self.bodies[&candidate].held_bytes;
            evicted.push(candidate);
        }
        if !has_room(others) {
            return Growth::Refused;
        }
        for chosen in &evicted {
            if let Some(body) = self.bodies.get_mut(chosen) {
                body.is_evicted = true;
                let held_bytes = body.held_bytes;
                self.pool_mut(pool).leaving += held_bytes;
            }
        }
        Growth::AfterEviction(evicted)
    }

    /// Returns the bodies of a pool that may be evicted and, if it is behind itself, the one that needs memory; those first that
    /// are the furthest behind.
    fn candidates(&self, number: BodyNumber, pool: Pool, now: Timestamp) -> Vec<BodyNumber> {
        let is_candidate = |(other, body): &(&BodyNumber, &Body)| {
            let holds_some = body.held_bytes > 0 && body.pool() == pool;
            let is_behind = body.is_arriving && lag::is_behind(body.on_time_until, now);
            is_behind && !body.is_evicted && (**other == number || holds_some)
        };
        let mut candidates: Vec<_> = self.bodies.iter().filter(is_candidate).collect();
        candidates.sort_by_key(|(number, body)| (body.on_time_until, **number));
        candidates.into_iter().map(|(number, _)| *number).collect()
    }
}
