//! The keys that callers present, and the client accounts that may have them.

/// The beginning of all keys; no log line may contain it.
pub const KEY_PREFIX: &str = "s3cret";

/// A caller's key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Key {
    /// A key that the account `yard` always has.
    Yard,
    /// A key that the account `desk` always has.
    Desk,
    /// A key that moves from one account to the other with each configuration.
    Moving,
    /// A key of `yard` that is removed when the faults are over.
    Removed,
    /// A key that no account ever has.
    Unknown,
}

impl Key {
    /// Returns the key of a request, by the request's number.
    pub fn of_request(number: u64) -> Self {
        let keys = [Self::Yard, Self::Desk, Self::Moving, Self::Removed, Self::Unknown];
        // The number modulo 3 gives a request's kind; so each kind uses all keys.
        keys[(number / 3) as usize % keys.len()]
    }

    /// Returns the text of the key.
    pub fn text(self) -> String {
        format!("{KEY_PREFIX}-{self:?}")
    }

    /// Returns the accounts that have the key in some configuration.
    pub fn accounts(self) -> &'static [&'static str] {
        match self {
            Self::Yard | Self::Removed => &["yard"],
            Self::Desk => &["desk"],
            Self::Moving => &["yard", "desk"],
            Self::Unknown => &[],
        }
    }

    /// Whether all configurations have the key.
    pub fn is_permanent(self) -> bool {
        matches!(self, Self::Yard | Self::Desk | Self::Moving)
    }

    /// Returns the texts of an account's keys in a version of the configuration.
    pub fn of_account(account: &str, version: u64, is_key_removed: bool) -> Vec<String> {
        let moving_to = if version.is_multiple_of(4) { "yard" } else { "desk" };
        let keys = [Self::Yard, Self::Desk, Self::Moving, Self::Removed].into_iter();
        let is_held = |key: &Self| match key {
            Self::Moving => account == moving_to,
            Self::Removed => account == "yard" && !is_key_removed,
            key => key.accounts().contains(&account),
        };
        keys.filter(is_held).map(Self::text).collect()
    }
}
