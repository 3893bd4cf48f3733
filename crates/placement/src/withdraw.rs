//! Withdrawal of starts for which a worker no longer has the capacity.
//!
//! The capacity of a worker may shrink after a decision and before the start is carried out.

use nutmegwalk_workload::Resources;

/// Returns the positions in `starts` of the starts that do not fit into `capacity` beside what is `occupied`. Earlier
/// starts are kept first.
#[must_use]
pub fn starts_to_withdraw(
    capacity: Resources,
    occupied: Resources,
    starts: &[Resources],
) -> Vec<usize> {
    let mut used = occupied;
    let mut withdrawn = Vec::new();
    for (index, demand) in starts.iter().enumerate() {
        if demand.fits(capacity.minus(used)) {
            used = used.plus(*demand);
        } else {
            withdrawn.push(index);
        }
    }
    withdrawn
}
