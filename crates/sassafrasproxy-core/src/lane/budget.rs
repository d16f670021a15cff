//! The budget for hedges and retries.

/// Lets a fraction of the base load be sent again, saved up to a cap.
#[derive(Debug, Clone)]
pub struct ExtraBudget {
    /// Never above `cap`.
    tokens: f64,
    fraction: f64,
    cap: f64,
}

impl ExtraBudget {
    /// A budget of `fraction` extra sends for each base send, of which `cap` may be saved.
    ///
    /// It starts full, so that a home that has just taken over can repeat what a crash lost.
    pub fn new(fraction: f64, cap: f64) -> Self {
        Self { tokens: if fraction > 0.0 { cap } else { 0.0 }, fraction, cap }
    }

    /// Counts one base send.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.fraction).min(self.cap);
    }

    /// Takes one extra send, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
