//! Fencing tokens: the numbers by which a worker refuses commands that are out of date.
//!
//! A shard's leader shows its term as the token. Where a start that may still arrive must be
//! revoked, it raises the token of that one worker above its term. Terms therefore leave so
//! many numbers out that a raised token stays below the next term.

use crate::wire::FencingToken;

/// Distance of two terms: the numbers between them are the tokens that the leader may raise
/// above its term, and the terms of earlier versions, which count by one.
pub const TERM_STRIDE: u64 = 1 << 16;
/// Offset above the term at which raised tokens begin. What lies between is left to earlier
/// versions, whose next terms must not equal a token that was raised before.
pub const FIRST_RAISED_OFFSET: u64 = TERM_STRIDE / 2;

impl FencingToken {
    /// The token that a leader shows whose token was not raised.
    pub fn of_term(term: u64) -> FencingToken {
        FencingToken(term)
    }
}

/// The term that follows: above all tokens that may have been shown under earlier ones.
pub fn next_term(term: u64) -> u64 {
    (term / TERM_STRIDE + 1).saturating_mul(TERM_STRIDE)
}

/// The token of a worker whose token was raised so many times under a term; `None` if the
/// term has no further ones.
pub fn raised_fencing_token(term: u64, fencing_token_raises: u64) -> Option<FencingToken> {
    match fencing_token_raises {
        0 => Some(FencingToken::of_term(term)),
        _ => {
            let offset = FIRST_RAISED_OFFSET.checked_add(fencing_token_raises)?;
            let fencing_token = term.checked_add(offset)?;
            (fencing_token < next_term(term)).then_some(FencingToken(fencing_token))
        }
    }
}
