//! A batch job as it was handed in, and what comes of its items.

use speedy::{Readable, Writable};

use crate::identity::{BatchId, TenantName};
use crate::quarantine::{Fingerprint, RequestContent};

/// A request that scores an item's text once it is whole. The signature of its successful answer is the
/// score.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ScoreRequest {
    /// Its id.
    pub id: String,
    /// The host whose routes it goes by.
    pub host: String,
    /// The path, by which its route is found.
    pub path: String,
    /// The body.
    pub body: Vec<u8>,
}

/// One request of a batch job.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct BatchItem {
    /// Its id, unique within the job.
    pub id: String,
    /// The path at the replica.
    pub path: String,
    /// Header fields that go with it.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
    /// Tokens of memory that it may need.
    pub tokens: u64,
    /// The caller's estimate of tokens to come.
    pub expected_tokens: Option<u64>,
    /// The group that is worth something only as a whole.
    pub group: Option<String>,
    /// The model it is for.
    pub model: Option<String>,
    /// What scores its text; without it the text is listed as it came.
    pub scorer: Option<ScoreRequest>,
}

/// The method with which items and score requests are sent.
const METHOD: &str = "POST";

impl ScoreRequest {
    /// What it has in common with the same request sent again.
    pub fn fingerprint(&self, tenant: Option<&TenantName>) -> Fingerprint {
        Fingerprint::of(&RequestContent {
            method: METHOD,
            host: &self.host.to_ascii_lowercase(),
            path: &self.path,
            tenant,
            body: &self.body,
        })
    }
}

impl BatchItem {
    /// What all its runs have in common, in a job that came under this host from this tenant.
    pub(crate) fn fingerprint(&self, host: &str, tenant: Option<&TenantName>) -> Fingerprint {
        Fingerprint::of(&RequestContent { method: METHOD, host, path: &self.path, tenant, body: &self.body })
    }
}

/// A batch job.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct BatchJob {
    /// Its id.
    pub id: BatchId,
    /// The route under which it came.
    pub route: String,
    /// The host under which it came.
    pub host: String,
    /// Whose job it is; `None` where callers need no key.
    pub tenant: Option<TenantName>,
    /// The trainer's step.
    pub step: Option<u64>,
    /// The oldest version of the weights allowed to make its tokens.
    pub min_version: u64,
    /// How many whole groups the trainer waits for.
    pub desired_groups: Option<u64>,
    /// Its items.
    pub items: Vec<BatchItem>,
}

impl BatchJob {
    /// Whether a caller of this tenant may see and end the job. Where callers need no key, each may.
    pub fn is_open_to(&self, caller: Option<&TenantName>) -> bool {
        match (&self.tenant, caller) {
            (Some(owner), Some(caller)) => owner == caller,
            _ => true,
        }
    }
}

/// One event of an item's answer.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct OutputEvent {
    /// Its number.
    pub number: u64,
    /// The version of the weights that made it.
    pub version: u64,
    /// Its data.
    pub data: String,
}

/// What came of an item.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ItemResult {
    /// The item's position in the job.
    pub item: u32,
    /// Whether the text is the item's whole output.
    pub is_complete: bool,
    /// The data of all events in order, separated by line feeds.
    pub text: String,
    /// Every version that made an event of the text, in rising order.
    pub versions: Vec<u64>,
    /// The score of the text, where its item names a scorer.
    pub score: Option<String>,
}

impl ItemResult {
    /// The result of an item that came whole.
    pub fn complete(item: u32, events: &[OutputEvent], score: Option<String>) -> Self {
        let mut versions: Vec<u64> = events.iter().map(|event| event.version).collect();
        versions.sort_unstable();
        versions.dedup();
        let data: Vec<&str> = events.iter().map(|event| event.data.as_str()).collect();
        Self { item, is_complete: true, text: data.join("\n"), versions, score }
    }

    /// The result of an item that was given up.
    pub(crate) const fn faulted(item: u32) -> Self {
        Self { item, is_complete: false, text: String::new(), versions: Vec::new(), score: None }
    }
}
