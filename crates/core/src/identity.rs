//! Identifiers shared by all nodes: names, epochs, versions and revisions.

use std::fmt;

use serde::{Deserialize, Serialize};
use speedy::{Readable, Writable};

macro_rules! name_type {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(
            Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Readable, Writable,
        )]
        #[serde(transparent)]
        pub struct $name(String);

        impl $name {
            /// Creates an identifier from a name, without validating it.
            pub fn new(name: impl Into<String>) -> Self {
                Self(name.into())
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(name: &str) -> Self {
                Self::new(name)
            }
        }
    };
}

macro_rules! number_type {
    ($(#[$documentation:meta])* $name:ident) => {
        $(#[$documentation])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Readable,
            Writable,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the next number.
            #[must_use]
            pub const fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

name_type!(
    /// A node: one running `lichenpulleyd`.
    NodeId
);
name_type!(
    /// A zone: machines that share a failure domain and have low network latency between them.
    ZoneName
);

name_type!(
    /// A region: a group of zones that are close to each other.
    RegionName
);
name_type!(
    /// A model pool: the replicas that serve one model.
    PoolName
);
name_type!(
    /// A replica: one inference engine of a pool.
    ReplicaId
);
name_type!(
    /// A caller's request. A retry by the caller carries the same id.
    RequestId
);
name_type!(
    /// A rollout job.
    JobId
);
name_type!(
    /// A batch job: a set of requests submitted together and run asynchronously.
    BatchId
);
name_type!(
    /// A tenant: a customer of the deployment, identified by the API keys that callers send.
    TenantName
);
name_type!(
    /// A shard of control work: `job/<job>`, `weights/<pool>` or `claims/<bucket>`.
    ShardId
);
name_type!(
    /// One attempt to run a request on one engine. Unique across nodes and restarts.
    AttemptId
);

number_type!(
    /// The term of one owner of a shard. A receiver rejects messages of an epoch below the highest it has seen.
    Epoch
);
number_type!(
    /// A version of a pool's weights. Later versions have higher numbers.
    WeightVersion
);
number_type!(
    /// A revision of a document. It never decreases.
    Revision
);
