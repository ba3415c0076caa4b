//! Mechanisms of an acceptor that proofs switch off one by one.

/// Mechanisms of an acceptor. All on in service; proofs switch one off to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptorChecks {
    /// Refuse ballots below the promised one.
    pub refuse_lower_ballots: bool,
    /// Refuse to take part under another store's id.
    pub check_store: bool,
    /// Refuse to take part once sealed.
    pub refuse_when_sealed: bool,
    /// Refuse to be installed without all pages from a majority of the sealed set.
    pub check_copied: bool,
    /// Refuse ids whose claims may have been forgotten.
    pub refuse_expired_claims: bool,
    /// Keep to the highest ballot that the sealed replicas promised, once installed.
    pub carry_promise: bool,
}

impl Default for AcceptorChecks {
    fn default() -> Self {
        Self {
            refuse_lower_ballots: true,
            check_store: true,
            refuse_when_sealed: true,
            check_copied: true,
            refuse_expired_claims: true,
            carry_promise: true,
        }
    }
}
