//! A batch job as submitted, and the results of its items.

use speedy::{Readable, Writable};

use crate::identity::{BatchId, TenantName};
use crate::quarantine::{Fingerprint, RequestContent};

/// Memory of an item beside its bytes, with its state and its place among those that wait or run.
const ITEM_OVERHEAD_BYTES: usize = 1 << 10;
/// Memory of a header field of an item beside its bytes.
const FIELD_OVERHEAD_BYTES: usize = 112;

/// A request that scores an item's text once it is complete. The signature of the successful answer is the
/// score.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ScoreRequest {
    /// The id.
    pub id: String,
    /// The host by which its route is found.
    pub host: String,
    /// The path by which its route is found.
    pub path: String,
    /// The request body.
    pub body: Vec<u8>,
}

/// One request of a batch job.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct BatchItem {
    /// The id, unique within the job.
    pub id: String,
    /// The path requested at the replica.
    pub path: String,
    /// Header fields sent with the request.
    pub headers: Vec<(String, String)>,
    /// The request body.
    pub body: Vec<u8>,
    /// Maximum memory that it needs, in tokens.
    pub tokens: u64,
    /// The caller's estimate of the tokens to generate.
    pub expected_tokens: Option<u64>,
    /// The group that the item belongs to; only complete groups are useful to the caller.
    pub group: Option<String>,
    /// The model to run.
    pub model: Option<String>,
    /// The request that scores the text; without one the text is listed unscored.
    pub scorer: Option<ScoreRequest>,
}

/// HTTP method of score requests.
const METHOD: &str = "POST";

impl ScoreRequest {
    /// Returns the fingerprint, which is the same for every attempt of the request.
    pub fn fingerprint(&self, tenant: Option<&TenantName>) -> Fingerprint {
        Fingerprint::of(&RequestContent {
            method: METHOD,
            host: &self.host.to_ascii_lowercase(),
            path: &self.path,
            tenant,
            body: &self.body,
        })
    }

    fn held_bytes(&self) -> usize {
        self.id.len() + self.host.len() + self.path.len() + self.body.len()
    }
}

impl BatchItem {
    fn held_bytes(&self) -> usize {
        let headers: usize = self.headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        let names = [&self.group, &self.model].into_iter().flatten().map(String::len).sum::<usize>();
        let scorer = self.scorer.as_ref().map_or(0, ScoreRequest::held_bytes);
        self.id.len() + self.path.len() + headers + self.body.len() + names + scorer
    }
}

/// A batch job.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct BatchJob {
    /// The id.
    pub id: BatchId,
    /// Name of the route that it was submitted to.
    pub route: String,
    /// The host that it was submitted to.
    pub host: String,
    /// The tenant that owns the job; `None` where callers need no key.
    pub tenant: Option<TenantName>,
    /// The trainer's step number.
    pub step: Option<u64>,
    /// The oldest model version that may generate its tokens.
    pub min_version: u64,
    /// Number of complete groups that the trainer waits for.
    pub desired_groups: Option<u64>,
    /// The items.
    pub items: Vec<BatchItem>,
}

impl BatchJob {
    /// Returns the bytes of everything that the caller submitted.
    pub(super) fn held_bytes(&self) -> usize {
        let tenant = self.tenant.as_ref().map_or(0, |tenant| tenant.as_str().len());
        let items: usize = self.items.iter().map(BatchItem::held_bytes).sum();
        self.id.as_str().len() + self.route.len() + self.host.len() + tenant + items
    }

    /// Returns the memory that the job's items and their fields take beside their bytes.
    pub(super) fn bookkeeping_bytes(&self) -> usize {
        self.items.iter().map(|item| ITEM_OVERHEAD_BYTES + item.headers.len() * FIELD_OVERHEAD_BYTES).sum()
    }

    /// Returns whether a caller of this tenant may see and end the job. Where callers need no key, everyone
    /// may.
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
    /// Number of the event within the answer.
    pub number: u64,
    /// The model version that generated it.
    pub version: u64,
    /// The event's data.
    pub data: String,
}

impl OutputEvent {
    /// Returns the bytes of the text and of its two numbers.
    pub(super) fn held_bytes(&self) -> usize {
        size_of_val(&self.number) + size_of_val(&self.version) + self.data.len()
    }
}

/// The result of an item.
#[derive(Clone, Debug, PartialEq, Eq, Readable, Writable)]
pub struct ItemResult {
    /// The item's position in the job.
    pub item: u32,
    /// Whether the text is the item's complete output.
    pub is_complete: bool,
    /// The data of all events in order, separated by line feeds.
    pub text: String,
    /// The model versions that generated the text, in ascending order.
    pub versions: Vec<u64>,
    /// The score of the text, if its item names a scorer.
    pub score: Option<String>,
}

impl ItemResult {
    /// Returns the bytes of the text, its versions and its score.
    pub(super) fn held_bytes(&self) -> usize {
        let score = self.score.as_ref().map_or(0, String::len);
        self.text.len() + score + size_of_val(self.versions.as_slice())
    }

    /// Creates the result of a complete item.
    pub fn complete(item: u32, events: &[OutputEvent], score: Option<String>) -> Self {
        let mut versions: Vec<u64> = events.iter().map(|event| event.version).collect();
        versions.sort_unstable();
        versions.dedup();
        let data: Vec<&str> = events.iter().map(|event| event.data.as_str()).collect();
        Self { item, is_complete: true, text: data.join("\n"), versions, score }
    }

    /// Creates the result of an item that was given up.
    pub(crate) const fn faulted(item: u32) -> Self {
        Self { item, is_complete: false, text: String::new(), versions: Vec::new(), score: None }
    }
}
