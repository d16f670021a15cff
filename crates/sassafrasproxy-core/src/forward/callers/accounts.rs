//! Finds the client account of a request by the key that the caller presents.

use std::sync::Arc;

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_wire::{ClientAccount, ClientAccounts, KeyHash, KeySalt, Route};

/// The client accounts of the active configuration, by key.
///
/// Looking up a key takes constant time, however many accounts there are.
#[derive(Debug, Clone, Default)]
pub struct AccountTable {
    salt: KeySalt,
    by_key: IndexMap<KeyHash, Arc<ClientAccount>>,
    /// The accounts by name, without their hashes.
    by_name: IndexMap<EcoString, Arc<ClientAccount>>,
}

/// The account that a request is served for.
#[derive(Debug, Clone, PartialEq)]
pub enum Authentication {
    /// The request belongs to an account.
    Account(Arc<ClientAccount>),
    /// The route needs no key.
    Open,
    /// The route needs a key, and no account has the one that was presented, if any.
    UnknownKey,
}

impl AccountTable {
    /// Creates a table of accounts.
    pub fn new(accounts: &ClientAccounts) -> Self {
        let mut table = Self { salt: accounts.salt, ..Self::default() };
        for account in accounts.accounts.values() {
            // The table itself holds the hashes.
            let shared = Arc::new(ClientAccount {
                name: account.name.clone(),
                key_hashes: Vec::new(),
                priority: account.priority,
                rate_limit: account.rate_limit,
            });
            table.by_name.insert(account.name.clone(), shared.clone());
            for hash in &account.key_hashes {
                table.by_key.insert(*hash, shared.clone());
            }
        }
        table
    }

    /// Returns the account for which a request of a route is served; `key` is the key that the
    /// caller presented.
    pub fn authenticate(&self, route: &Route, key: Option<&str>) -> Authentication {
        if route.is_open {
            return Authentication::Open;
        }
        let account = key.and_then(|key| self.by_key.get(&KeyHash::new(&self.salt, key)));
        match account {
            Some(account) => Authentication::Account(account.clone()),
            None => Authentication::UnknownKey,
        }
    }

    /// Returns an account by its name.
    pub fn account(&self, name: &str) -> Option<&Arc<ClientAccount>> {
        self.by_name.get(name)
    }

    /// Returns all accounts.
    pub fn accounts(&self) -> impl Iterator<Item = &Arc<ClientAccount>> {
        self.by_name.values()
    }
}
