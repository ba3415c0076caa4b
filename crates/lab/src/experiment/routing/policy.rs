//! Ways to choose a replica, as one gateway uses them. Each gets the same reports.

use std::time::Duration;

use lichenpulley_core::identity::{NodeId, ReplicaId, ZoneName};
use lichenpulley_core::request::answer::Priority;
use lichenpulley_core::routing::pool::{ListedReplica, RouteQuery};
use lichenpulley_core::routing::{LoadReport, Pool, PoolConfig};
use lichenpulley_core::time::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The ways that are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// The core's balancer.
    Balancer,
    /// One after the other.
    RoundRobin,
    /// The fewest streams by the last report.
    LeastReportedLoad,
}

impl PolicyKind {
    /// All of them.
    pub const ALL: [Self; 3] = [Self::Balancer, Self::RoundRobin, Self::LeastReportedLoad];

    /// The name in results.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Balancer => "balancer",
            Self::RoundRobin => "round_robin",
            Self::LeastReportedLoad => "least_reported_load",
        }
    }
}

/// A gateway's policy.
pub enum Policy {
    /// See [`PolicyKind::Balancer`].
    Balancer(Box<Balancer>),
    /// See [`PolicyKind::RoundRobin`].
    RoundRobin {
        /// Replicas.
        replicas: usize,
        /// The next.
        next: usize,
    },
    /// See [`PolicyKind::LeastReportedLoad`].
    LeastReportedLoad {
        /// Streams by the last report of each replica, and when it was taken.
        reported: Vec<(Timestamp, u32)>,
        /// Breaks ties.
        random: Pcg64Mcg,
    },
}

/// The core's balancer with its pool.
pub struct Balancer {
    pool: Pool,
    random: Pcg64Mcg,
}

/// The id of a replica by its number.
pub fn replica_id(number: usize) -> ReplicaId {
    ReplicaId::new(format!("replica-{number:03}"))
}

impl Policy {
    /// A policy for a gateway that knows `zones.len()` replicas.
    pub fn new(kind: PolicyKind, zones: &[ZoneName], config: PoolConfig, seed: u64) -> Self {
        let random = Pcg64Mcg::seed_from_u64(seed);
        match kind {
            PolicyKind::Balancer => {
                let mut pool = Pool::new(NodeId::new(format!("gateway-{seed}")), config, Timestamp::ORIGIN);
                pool.list(zones.iter().enumerate().map(|(number, zone)| ListedReplica {
                    replica: replica_id(number),
                    zone: zone.clone(),
                    leaving: false,
                }));
                Self::Balancer(Box::new(Balancer { pool, random }))
            }
            PolicyKind::RoundRobin => {
                Self::RoundRobin { replicas: zones.len(), next: seed as usize % zones.len() }
            }
            PolicyKind::LeastReportedLoad => {
                Self::LeastReportedLoad { reported: vec![(Timestamp::ORIGIN, 0); zones.len()], random }
            }
        }
    }

    /// Chooses a replica; `None` where none may take the request now.
    pub fn choose(&mut self, now: Timestamp, prefix_group: u64, priority: Priority) -> Option<usize> {
        match self {
            Self::Balancer(balancer) => balancer.choose(now, prefix_group, priority),
            Self::RoundRobin { replicas, next } => {
                *next = (*next + 1) % *replicas;
                Some(*next)
            }
            Self::LeastReportedLoad { reported, random } => {
                let least = reported.iter().map(|(_, streams)| *streams).min()?;
                let tied = reported.iter().enumerate().filter(|(_, (_, streams))| *streams == least);
                let tied: Vec<usize> = tied.map(|(number, _)| number).collect();
                Some(tied[random.random_range(0..tied.len())])
            }
        }
    }

    /// Takes a report in the answer to a question sent at `asked_at`.
    pub fn observe(&mut self, replica: usize, asked_at: Timestamp, report: LoadReport, now: Timestamp) {
        match self {
            Self::Balancer(balancer) => balancer.pool.observe(&replica_id(replica), asked_at, report, now),
            Self::RoundRobin { .. } => {}
            Self::LeastReportedLoad { reported, .. } => {
                // As the balancer does, an older report does not replace a newer one.
                let taken_at = earlier(asked_at, report.age());
                if taken_at >= reported[replica].0 {
                    reported[replica] = (taken_at, report.running + report.queued);
                }
            }
        }
    }

    /// Notes the time to a first token.
    pub fn started(&mut self, replica: usize, priority: Priority, took: Duration, now: Timestamp) {
        if let Self::Balancer(balancer) = self {
            balancer.pool.started(&replica_id(replica), priority, took, now);
        }
    }

    /// Notes that a request is over; `refused` where the engine refused it.
    pub fn finished(&mut self, replica: usize, refused: bool, now: Timestamp) {
        if let Self::Balancer(balancer) = self {
            let id = replica_id(replica);
            balancer.pool.release(&id, now);
            if refused {
                balancer.pool.overloaded(&id, now);
            } else {
                balancer.pool.completed(now);
            }
        }
    }
}

impl Balancer {
    fn choose(&mut self, now: Timestamp, prefix_group: u64, priority: Priority) -> Option<usize> {
        let query =
            RouteQuery { prefix_group, priority, refused_by: &[], failed_at: &[], minimum_version: None };
        let choice = self.pool.reserve(&query, &mut self.random, now).ok()?;
        choice.replica.as_str().rsplit('-').next()?.parse().ok()
    }
}

fn earlier(timestamp: Timestamp, by: Duration) -> Timestamp {
    Timestamp::from_micros(timestamp.as_micros().saturating_sub(by.as_micros() as u64))
}
