//! Decides whether a node's registration has been removed from the store.

/// The number of consecutive checks that must find a registration missing before it counts as
/// removed.
///
/// More than one, because all entries are missing for a moment while the store is listed anew.
const MISSING_CHECK_COUNT: u32 = 2;

/// The checks of a node's registration since it was written.
#[derive(Debug, Clone, Default)]
pub struct RegistrationCheck {
    /// Whether a check has found the registration; before that it is on its way to this node.
    was_listed: bool,
    /// The number of checks in a row that found the registration missing since.
    missing_count: u32,
}

impl RegistrationCheck {
    /// Records a check; returns whether the registration was removed.
    pub fn record(&mut self, is_listed: bool) -> bool {
        self.was_listed |= is_listed;
        self.missing_count = if is_listed { 0 } else { self.missing_count + 1 };
        self.was_listed && self.missing_count >= MISSING_CHECK_COUNT
    }
}
