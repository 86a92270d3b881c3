//! Budgets that limit retries and hedged requests to a small fraction of the load.

/// A token bucket that is refilled by successes and drained by retries or hedged requests.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    tokens: f64,
    per_success: f64,
    capacity: f64,
}

impl Budget {
    /// Tokens that a success adds to a retry budget.
    const RETRY_PER_SUCCESS: f64 = 0.1;
    /// Maximum burst of retries.
    const RETRY_CAPACITY: f64 = 20.0;
    /// Tokens that a success adds to a hedge budget.
    const HEDGE_PER_SUCCESS: f64 = 0.02;
    /// Maximum burst of hedged requests.
    const HEDGE_CAPACITY: f64 = 5.0;

    /// Creates a budget for retries.
    pub fn retries() -> Self {
        Self::full(Self::RETRY_PER_SUCCESS, Self::RETRY_CAPACITY)
    }

    /// Creates a budget for hedged requests.
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

    /// Adds tokens for a successful request.
    pub fn succeeded(&mut self) {
        self.tokens = (self.tokens + self.per_success).min(self.capacity);
    }

    /// Takes a token if available; returns whether it did.
    pub fn try_take(&mut self) -> bool {
        let granted = self.tokens >= 1.0;
        if granted {
            self.tokens -= 1.0;
        }
        granted
    }
}
