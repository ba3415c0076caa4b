//! Names and numbers that identify things across nodes.

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
            /// Wraps a name as it stands.
            pub fn new(name: impl Into<String>) -> Self {
                Self(name.into())
            }

            /// The name as text.
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
            /// The number that follows this one.
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
    /// A zone: machines that share a failure domain and a short network path.
    ZoneName
);

name_type!(
    /// A region: zones that lie near each other.
    RegionName
);
name_type!(
    /// A model pool: replicas that serve the same model.
    PoolName
);
name_type!(
    /// A replica: one model engine of a pool.
    ReplicaId
);
name_type!(
    /// A caller's request. A caller that repeats a request repeats its id.
    RequestId
);
name_type!(
    /// A rollout job.
    JobId
);
name_type!(
    /// A batch job: a set of requests taken together and run afterwards.
    BatchId
);
name_type!(
    /// A tenant: a customer of the deployment, whose keys callers bring.
    TenantName
);
name_type!(
    /// A shard of control work: `job/<job>`, `weights/<pool>` or `claims/<bucket>`.
    ShardId
);
name_type!(
    /// One try at running a request on one engine; unique across nodes and restarts.
    AttemptId
);

number_type!(
    /// The term of one owner of a shard. A receiver refuses any epoch below the highest it has seen.
    Epoch
);
number_type!(
    /// A version of a pool's weights. A later version has a higher number.
    WeightVersion
);
number_type!(
    /// A revision of a document that only ever goes up.
    Revision
);
