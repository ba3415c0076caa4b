//! Safety checks of an acceptor, which tests disable one by one.

/// Safety checks of an acceptor. All are enabled in production; tests disable one to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AcceptorChecks {
    /// Refuses ballots below the promised one.
    pub refuse_lower_ballots: bool,
    /// Refuses requests that are for another store's id.
    pub check_store: bool,
    /// Refuses to promise, accept or vote once sealed.
    pub refuse_when_sealed: bool,
    /// Refuses to be installed without all pages from a majority of the sealed set.
    pub check_copied: bool,
    /// Refuses request ids whose claims may have been removed.
    pub refuse_expired_claims: bool,
    /// Adopts the highest ballot that the sealed replicas promised when installed.
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
