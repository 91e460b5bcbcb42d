//! Fencing tokens: the numbers by which a worker rejects outdated commands.
//!
//! A shard's leader sends its term as the token. To revoke a start that may still arrive at a
//! worker, it raises the token of that one worker above the term. Consecutive terms are therefore
//! [`TERM_STRIDE`] apart, so that a raised token stays below the next term.

use crate::wire::FencingToken;

/// Distance between consecutive terms. The numbers in between serve as raised tokens and as terms
/// of earlier versions, which increment the term by one.
pub const TERM_STRIDE: u64 = 1 << 16;
/// Offset above the term at which raised tokens begin. The numbers below it are left to earlier
/// versions, whose next terms must not equal a token that was raised before.
pub const FIRST_RAISED_OFFSET: u64 = TERM_STRIDE / 2;
/// Number of raises of a worker's fencing token after which its shard is handed over, and led under
/// a new term. The remaining fencing tokens of the term last until then.
pub const RAISES_PER_TERM: u64 = (TERM_STRIDE - FIRST_RAISED_OFFSET) / 2;

impl FencingToken {
    /// The token of a worker whose token has not been raised: the term itself.
    pub fn of_term(term: u64) -> FencingToken {
        FencingToken(term)
    }
}

/// The next term: above all tokens that may have been sent under earlier terms.
pub fn next_term(term: u64) -> u64 {
    (term / TERM_STRIDE + 1).saturating_mul(TERM_STRIDE)
}

/// The token of a worker after `fencing_token_raises` raises under a term; `None` if the term has
/// no further tokens.
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
