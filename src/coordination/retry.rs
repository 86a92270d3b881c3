//! Budgets that keep retries and hedges a small part of the load.

/// A token bucket that is filled by successes and emptied by retries or hedges.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
    per_success: f64,
    capacity: f64,
}

impl Budget {
    /// The tokens that a success adds to a retry budget.
    const RETRY_PER_SUCCESS: f64 = 0.1;
    /// The retries that may follow one another at once.
    const RETRY_CAPACITY: f64 = 20.0;
    /// The tokens that a success adds to a hedge budget.
    const HEDGE_PER_SUCCESS: f64 = 0.02;
    /// The hedges that may follow one another at once.
    const HEDGE_CAPACITY: f64 = 5.0;

    /// The budget for retries.
    pub fn retries() -> Self {
        Self::full(Self::RETRY_PER_SUCCESS, Self::RETRY_CAPACITY)
    }

    /// The budget for hedges.
    pub fn hedges() -> Self {
        Self::full(Self::HEDGE_PER_SUCCESS, Self::HEDGE_CAPACITY)
    }

    fn full(per_success: f64, capacity: f64) -> Self {
        Self {
            tokens: capacity,
            per_success,
            capacity,
        }
    }

    /// A request succeeded.
    pub fn succeeded(&mut self) {
        self.tokens = (self.tokens + self.per_success).min(self.capacity);
    }

    /// Takes a token if there is a whole one.
    pub fn try_take(&mut self) -> bool {
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}
