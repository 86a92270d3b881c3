//! A retry that is reserved in the retry budget until it is sent.

use std::sync::Arc;

use platform::ServiceName;

use crate::gateway::shared::Shared;

/// A reserved retry; dropping it returns it to the budget.
pub struct RetryPermit {
    shared: Arc<Shared>,
    service: ServiceName,
    is_sent: bool,
}

impl RetryPermit {
    /// Reserves a retry; `None` if the budget has none left.
    pub fn reserve(shared: &Arc<Shared>, service: &ServiceName) -> Option<Self> {
        let now = shared.now();
        let is_reserved = shared.dispatcher().reserve_retry(service, now);
        is_reserved.then(|| Self {
            shared: shared.clone(),
            service: service.clone(),
            is_sent: false,
        })
    }

    /// Charges the retry to the budget, as it is sent now.
    pub fn spend(mut self) {
        self.is_sent = true;
        let now = self.shared.now();
        self.shared.dispatcher().spend_retry(&self.service, now);
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if !self.is_sent {
            self.shared.dispatcher().return_retry(&self.service);
        }
    }
}
