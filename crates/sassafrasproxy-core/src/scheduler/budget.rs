//! Limits hedges and retries to a fraction of the base load.

/// A token bucket that each base request fills by a fraction of a token and that each hedge or
/// retry takes one token from.
#[derive(Debug, Clone)]
pub struct HedgeRetryBudget {
    /// The tokens available; never above `max_tokens`.
    tokens: f64,
    tokens_per_request: f64,
    max_tokens: f64,
}

impl HedgeRetryBudget {
    /// Creates a budget that gains `tokens_per_request` tokens for each base request and holds at
    /// most `max_tokens`.
    ///
    /// It starts full, unless `tokens_per_request` is 0, so that a new home can retry what a crash
    /// of the old one lost.
    pub fn new(tokens_per_request: f64, max_tokens: f64) -> Self {
        Self {
            tokens: if tokens_per_request > 0.0 { max_tokens } else { 0.0 },
            tokens_per_request,
            max_tokens,
        }
    }

    /// Adds the tokens that one base request earns.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_request).min(self.max_tokens);
    }

    /// Takes one token for a hedge or retry; returns whether one was available.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
