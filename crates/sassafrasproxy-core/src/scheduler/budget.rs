//! The budget for hedges and retries.

/// Lets a fraction of the base load be sent again, saved up to a cap.
#[derive(Debug, Clone)]
pub struct HedgeRetryBudget {
    /// Never above `cap`.
    tokens: f64,
    tokens_per_request: f64,
    max_tokens: f64,
}

impl HedgeRetryBudget {
    /// A budget of `fraction` extra sends for each base send, of which `cap` may be saved.
    ///
    /// It starts full, so that a home that has just taken over can repeat what a crash lost.
    pub fn new(tokens_per_request: f64, max_tokens: f64) -> Self {
        Self {
            tokens: if tokens_per_request > 0.0 { max_tokens } else { 0.0 },
            tokens_per_request,
            max_tokens,
        }
    }

    /// Counts one base send.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_request).min(self.max_tokens);
    }

    /// Takes one extra send, if there is one.
    pub fn try_withdraw(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
