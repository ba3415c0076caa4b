//! Which nodes are live, without a server that knows: SWIM (Das, Gupta and Motivala, "SWIM: Scalable
//! Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002).
//!
//! Each period a node probes one member, round by round in a random order, so a node's load does not grow with
//! the cluster. A member that answers neither directly nor through others is suspected; unless it refutes by
//! raising its incarnation it is declared failed. Updates ride on the probes themselves, each a bounded number
//! of times. Beyond the paper:
//!
//! - whole tables are compared now and then, by digests, and failed members are tried again, so that a healed
//!   partition merges without an operator;
//! - a node's own stalls don't count against others (the `stall` module);
//! - a suspicion raised here is probed again until it ends, and whoever is in doubt is told so by whoever
//!   speaks to it;
//! - bytes of updates have a budget;
//! - revisions of documents ride along (the `documents` module).
//!
//! [`Membership`] is a state machine without I/O: datagrams and the time in, datagrams, events and the next
//! wake-up out.

mod config;
mod detect;
mod documents;
mod event;
mod machine;
mod member;
mod message;
mod probe;
mod receive;
mod repair;
mod spread;
mod stall;
mod table;
mod updates;

pub use config::{Config, ConfigError, Mechanisms};
pub use event::{AnnouncedRevision, Cause, Counters, Event, EventKind};
pub use machine::{Membership, StartError, Transmit};
pub use member::{Incarnation, MemberClaim, MemberInfo, MemberRecord, MemberState, WireAddress};
pub use message::{Body, ClaimedState, DecodeError, DocumentRevision, Message, Update};
