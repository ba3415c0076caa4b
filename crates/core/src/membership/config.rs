//! Settings of the membership protocol.
//!
//! Owns the checks of their bounds; each error names the field and what to set.

use std::time::Duration;

/// The longest node id or zone name that fits the protocol's datagrams, in bytes. Chosen, not measured: longer names leave
/// room for fewer updates in a datagram, shorter refuse names that operators use.
pub(crate) const MAX_NAME_BYTES: usize = 64;

/// The least payload that holds every fixed part of a message and one update, in bytes. Chosen, not
/// measured: less may leave a message no room for an update, more refuses payloads that would do.
const MIN_PAYLOAD_BYTES: usize = 512;

/// The largest payload that one IPv4 datagram can carry, in bytes: 65,535 less the headers of IP (20) and UDP (8).
const MAX_PAYLOAD_BYTES: usize = 65_507;

/// Settings of the membership protocol. All times are the node's own.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Time from one probe of a member to the next. Each node probes one member a period.
    pub probe_interval: Duration,
    /// Time until a direct probe without an answer is tried through other members.
    pub probe_timeout: Duration,
    /// How many members are asked to probe in this node's place; 0 switches indirect probes off.
    pub indirect_probes: usize,
    /// A suspect is declared failed after this many probe intervals, times log10 of the cluster's size.
    pub suspicion_multiplier: u32,
    /// An update rides on this many messages, times log10 of the cluster's size (λ log n in the paper).
    pub retransmission_multiplier: u32,
    /// The largest payload of a datagram, in bytes.
    pub maximum_payload_bytes: usize,
    /// Bytes of updates that a node sends a second on average; probes themselves come on top.
    pub update_bytes_per_second: u32,
    /// Bytes of updates that a node may save up for a burst.
    pub update_burst_bytes: u32,
    /// Time from one comparison of whole member tables with a random member to the next.
    pub sync_interval: Duration,
    /// Datagrams of members sent in answer to one comparison.
    pub sync_pages: usize,
    /// Time from one attempt to reach a failed member to the next.
    pub reconnect_interval: Duration,
    /// Time until a seed that did not answer is asked again.
    pub join_retry: Duration,
    /// How long a failed member is remembered, and with it the hope that it comes back.
    pub forget_failed_after: Duration,
    /// How long a member that left is remembered, so that a late update does not bring it back.
    pub forget_left_after: Duration,
    /// A timer later than this counts as a stall of this node itself.
    pub stall_tolerance: Duration,
    /// Mechanisms that experiments switch off to show what each is for.
    pub mechanisms: Mechanisms,
}

/// Mechanisms that can be switched off; all are on unless an experiment says otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mechanisms {
    /// A node that hears itself suspected raises its incarnation.
    pub refutation: bool,
    /// Whole tables are compared, and failed members and silent seeds are tried again.
    pub anti_entropy: bool,
    /// A node's own stall does not count against others.
    pub stall_credit: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Self { refutation: true, anti_entropy: true, stall_credit: true }
    }
}

impl Default for Config {
    /// Chosen, not measured, where the comment beside a value names no source.
    fn default() -> Self {
        Self {
            // Longer notices a failure later, shorter costs messages on every node; `probe_timeout` must fit in it twice.
            probe_interval: Duration::from_millis(500),
            // Shorter probes through others when a member is only slow, longer leaves them less of the interval.
            probe_timeout: Duration::from_millis(150),
            // Fewer suspects members behind a lossy link, more costs messages for each unanswered probe.
            indirect_probes: 3,
            // Smaller declares members failed that would have refuted, larger keeps failed ones in the view.
            suspicion_multiplier: 5,
            // Smaller leaves some members without an update until tables are compared, larger spends the byte budget.
            retransmission_multiplier: 4,
            // Passes every common network without fragments; larger may be lost as a whole, smaller carries fewer updates.
            maximum_payload_bytes: 1_200,
            // Bounds the worst case; smaller spreads slower when half of a cluster changes at once.
            update_bytes_per_second: 1_000,
            // Smaller delays the updates of a lost zone, larger lets them crowd out other traffic.
            update_burst_bytes: 16_000,
            // Longer heals tables that differ later, shorter costs a comparison of digests more often.
            sync_interval: Duration::from_secs(30),
            // Fewer heals large differences over more comparisons, more makes one comparison a burst.
            sync_pages: 2,
            // Longer rejoins healed regions later, shorter costs messages to members that are gone.
            reconnect_interval: Duration::from_secs(5),
            // Longer delays the start of a node whose first seed is down, shorter asks seeds that are only slow.
            join_retry: Duration::from_secs(1),
            // Shorter leaves regions apart that are cut off for longer, longer remembers members that were replaced.
            forget_failed_after: Duration::from_secs(6 * 3_600),
            // Shorter lets a late update bring a member back that left, longer remembers it for nothing.
            forget_left_after: Duration::from_secs(3_600),
            // Smaller takes the jitter of timers for a stall, larger lets a starved node suspect others.
            stall_tolerance: Duration::from_millis(50),
            mechanisms: Mechanisms::default(),
        }
    }
}

/// A setting that the protocol can't work with.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("membership setting `{field}` is {value}; {remedy}")]
pub struct ConfigError {
    /// The field of [`Config`].
    pub field: &'static str,
    /// Its value.
    pub value: String,
    /// What to set instead.
    pub remedy: &'static str,
}

impl Config {
    /// Checks every bound that the protocol relies on.
    ///
    /// # Errors
    /// Names the first field out of its bounds.
    pub fn validate(&self) -> Result<(), ConfigError> {
        self.validate_probes()?;
        self.validate_updates()?;
        self.validate_repair()
    }

    fn validate_probes(&self) -> Result<(), ConfigError> {
        let interval = self.probe_interval;
        check(
            interval >= Duration::from_millis(10),
            "probe_interval",
            interval,
            "set at least 10 ms, or probes eat the control budget",
        )?;
        check(
            !self.probe_timeout.is_zero() && self.probe_timeout * 2 <= interval,
            "probe_timeout",
            self.probe_timeout,
            "set it above zero and at most half of `probe_interval`, so that indirect probes have time to answer",
        )?;
        check(
            self.suspicion_multiplier >= 1,
            "suspicion_multiplier",
            self.suspicion_multiplier,
            "set at least 1, or a suspect has no time to refute",
        )
    }

    fn validate_updates(&self) -> Result<(), ConfigError> {
        check(
            self.retransmission_multiplier >= 1,
            "retransmission_multiplier",
            self.retransmission_multiplier,
            "set at least 1, or updates are never sent",
        )?;
        let payload = self.maximum_payload_bytes;
        check(
            (MIN_PAYLOAD_BYTES..=MAX_PAYLOAD_BYTES).contains(&payload),
            "maximum_payload_bytes",
            payload,
            "set 512 to 65507; 1200 passes every common network without fragments",
        )?;
        check(
            self.update_bytes_per_second >= 100,
            "update_bytes_per_second",
            self.update_bytes_per_second,
            "set at least 100, or updates queue without end",
        )?;
        check(
            usize::try_from(self.update_burst_bytes).is_ok_and(|burst| burst >= payload),
            "update_burst_bytes",
            self.update_burst_bytes,
            "set at least `maximum_payload_bytes`, so that one message can be filled",
        )
    }

    fn validate_repair(&self) -> Result<(), ConfigError> {
        check(
            self.sync_interval >= self.probe_interval,
            "sync_interval",
            self.sync_interval,
            "set at least `probe_interval`",
        )?;
        check(self.sync_pages >= 1, "sync_pages", self.sync_pages, "set at least 1")?;
        check(
            self.reconnect_interval >= self.probe_interval,
            "reconnect_interval",
            self.reconnect_interval,
            "set at least `probe_interval`",
        )?;
        check(
            self.join_retry >= self.probe_timeout,
            "join_retry",
            self.join_retry,
            "set at least `probe_timeout`, or a seed is asked again before it can answer",
        )?;
        check(
            self.forget_left_after >= self.sync_interval * 4,
            "forget_left_after",
            self.forget_left_after,
            "set at least four times `sync_interval`, or late news brings a member back that left",
        )
    }

    /// How long a suspect has to refute in a cluster of `members`.
    pub fn suspicion_timeout(&self, members: usize) -> Duration {
        let scale = logarithm(members).max(1.0) * f64::from(self.suspicion_multiplier);
        self.probe_interval.mul_f64(scale)
    }

    /// On how many messages an update rides in a cluster of `members`.
    pub(crate) fn retransmissions(&self, members: usize) -> u32 {
        self.retransmission_multiplier * ceiling(logarithm(members + 1))
    }
}

fn check(
    holds: bool,
    field: &'static str,
    value: impl std::fmt::Debug,
    remedy: &'static str,
) -> Result<(), ConfigError> {
    let error = || ConfigError { field, value: format!("{value:?}"), remedy };
    if holds { Ok(()) } else { Err(error()) }
}

fn logarithm(members: usize) -> f64 {
    f64::from(u32::try_from(members.max(1)).unwrap_or(u32::MAX)).log10()
}

/// A small positive number rounded up.
fn ceiling(value: f64) -> u32 {
    (1..).find(|whole| f64::from(*whole) >= value).unwrap_or(1)
}
