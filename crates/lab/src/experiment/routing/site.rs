//! The two deployments of the brief, pool by pool.

use std::time::Duration;

use lichenpulley_core::identity::ZoneName;

/// One pool of one deployment, and the load on it.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The deployment.
    pub site: &'static str,
    /// The pool.
    pub pool: &'static str,
    /// The zones; each has a gateway.
    pub zones: [&'static str; 3],
    /// One way between zones.
    pub between_zones: Duration,
    /// Replicas, over the zones in turn.
    pub replicas: usize,
    /// Rollouts that run at once, as a share of all places in the batches.
    pub rollout_share: f64,
    /// Places that live requests would take on average, as a share of all places in the batches.
    pub live_share: f64,
}

/// One way within a zone.
pub const WITHIN_ZONE: Duration = Duration::from_micros(100);

impl Scenario {
    /// Every pool of both deployments. The pool that is trained serves rollouts beside live requests; the other
    /// serves live requests alone.
    pub fn all() -> [Self; 4] {
        let ramsaran = |pool, replicas, rollout_share, live_share| Self {
            site: "ramsaran",
            pool,
            zones: ["sando-hall", "couva-room", "pointe-rack"],
            between_zones: Duration::from_micros(500),
            replicas,
            rollout_share,
            live_share,
        };
        let pasar_tani = |pool, replicas, rollout_share, live_share| Self {
            site: "pasar_tani",
            pool,
            zones: ["kajang", "shah-alam", "ampang"],
            between_zones: Duration::from_millis(1),
            replicas,
            rollout_share,
            live_share,
        };
        [
            ramsaran("bench_assistant", 9, 0.80, 0.15),
            ramsaran("counter_ticket", 3, 0.0, 0.85),
            pasar_tani("pricing_helper", 11, 0.80, 0.15),
            pasar_tani("stall_lookup", 3, 0.0, 0.85),
        ]
    }

    /// The zone of a replica.
    pub fn replica_zone(&self, replica: usize) -> usize {
        replica % self.zones.len()
    }

    /// The zones of all replicas.
    pub fn replica_zones(&self) -> Vec<ZoneName> {
        (0..self.replicas).map(|replica| ZoneName::new(self.zones[self.replica_zone(replica)])).collect()
    }

    /// One way between a gateway, which has the number of its zone, and a replica.
    pub fn delay(&self, gateway: usize, replica: usize) -> Duration {
        if gateway == self.replica_zone(replica) { WITHIN_ZONE } else { self.between_zones }
    }
}
