//! Decentralized cluster membership and failure detection, based on SWIM (Das, Gupta and Motivala, "SWIM:
//! Scalable Weakly-consistent Infection-style Process Group Membership Protocol", DSN 2002).
//!
//! In each period a node probes one member, in a randomized round-robin order, so the load per node does not
//! grow with the cluster. A member that answers neither direct nor indirect probes is suspected. It is declared
//! failed unless it refutes the suspicion by raising its incarnation. Updates are piggybacked on the protocol
//! messages, each a bounded number of times. Extensions to the paper:
//!
//! - Members periodically compare full tables by digest and retry failed members, so that partitions merge
//!   automatically after they heal.
//! - Stalls of the local node do not count against other members (the `stall` module).
//! - A node keeps probing a member that it suspects, and every message to a suspected or failed member includes
//!   the claim about it, so that the member can refute it.
//! - A byte budget limits the updates sent.
//! - Messages announce the document revisions that the sender holds (the `documents` module).
//!
//! [`Membership`] is a state machine without I/O. Its inputs are datagrams and the current time; its outputs are
//! datagrams, events and the next timeout.

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
