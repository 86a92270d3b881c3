//! Proportional division of slots between daemons.

/// Returns the slots due to one daemon: all that it wants if the capacity covers every demand,
/// otherwise a share in proportion to its demand, and at least one.
pub(super) fn fair_share(capacity: u32, wanted: u32, total_wanted: u32) -> u32 {
    if total_wanted <= capacity {
        return wanted;
    }
    let share = u64::from(capacity) * u64::from(wanted) / u64::from(total_wanted);
    let share = u32::try_from(share).unwrap_or(u32::MAX);
    share.max(1).min(wanted)
}
