//! Membership changes to disseminate, each sent a bounded number of times.

use std::collections::BTreeMap;

use crate::coordination::membership::{DaemonName, member_list::MemberList, record::Record};

/// Number of times that a change is sent per doubling of the fleet size.
const SENDS_PER_DOUBLING: u32 = 3;

/// Number of sends per queued change; a newer change of a daemon replaces the older one.
#[derive(Debug, Default)]
pub(super) struct GossipQueue {
    sends: BTreeMap<DaemonName, u32>,
}

impl GossipQueue {
    /// Queues the record of a daemon.
    pub(super) fn add(&mut self, name: &DaemonName) {
        self.sends.insert(name.clone(), 0);
    }

    /// Returns the least often sent records that fit into `budget_bytes`, and counts each as sent
    /// once.
    pub(super) fn take(
        &mut self,
        member_list: &MemberList,
        mut budget_bytes: usize,
    ) -> Vec<Record> {
        let limit = SENDS_PER_DOUBLING * (usize::BITS - member_list.len().leading_zeros()).max(1);
        let mut order: Vec<(u32, DaemonName)> =
            self.sends.iter().map(|(n, s)| (*s, n.clone())).collect();
        order.sort();
        let mut records = Vec::new();
        for (sends, name) in order {
            let Some(record) = member_list.get(&name).map(|e| &e.record) else {
                self.sends.remove(&name);
                continue;
            };
            let len = record.encoded_bound();
            if len > budget_bytes {
                break;
            }
            budget_bytes -= len;
            records.push(record.clone());
            if sends + 1 >= limit {
                self.sends.remove(&name);
            } else {
                self.sends.insert(name, sends + 1);
            }
        }
        records
    }
}
