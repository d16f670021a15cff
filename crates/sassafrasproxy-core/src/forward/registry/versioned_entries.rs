//! Keeps entries of the store of one kind, each with its revision.

use std::hash::Hash;

use indexmap::IndexMap;

/// The entries of one kind, by key; an older revision of an entry never replaces a newer one.
#[derive(Debug)]
pub struct VersionedEntries<K, T> {
    entries: IndexMap<K, VersionedEntry<T>>,
}

/// An entry with its revision.
#[derive(Debug, Clone, PartialEq)]
pub struct VersionedEntry<T> {
    /// The entry.
    pub value: T,
    /// The store's revision of the entry.
    pub revision: u64,
    /// Whether the current or last list of the store contains the entry.
    is_listed: bool,
}

impl<K, T> Default for VersionedEntries<K, T> {
    fn default() -> Self {
        Self { entries: IndexMap::new() }
    }
}

impl<K: Hash + Eq, T> VersionedEntries<K, T> {
    /// Inserts an entry, or marks the known one as listed if its revision is the same or newer;
    /// returns whether the entry was inserted.
    pub fn upsert_if_newer(&mut self, key: K, value: T, revision: u64) -> bool {
        if let Some(known) = self.entries.get_mut(&key)
            && revision <= known.revision
        {
            known.is_listed = true;
            return false;
        }
        self.entries.insert(key, VersionedEntry { value, revision, is_listed: true });
        true
    }

    /// Removes an entry unless it is newer than `revision`; returns whether one was removed.
    pub fn remove_if_older(&mut self, key: &K, revision: u64) -> bool {
        let is_older = self.entries.get(key).is_some_and(|known| known.revision <= revision);
        is_older && self.entries.shift_remove(key).is_some()
    }

    /// Starts a list of the store: marks all entries as not listed.
    pub fn start_list(&mut self) {
        self.entries.values_mut().for_each(|known| known.is_listed = false);
    }

    /// Returns the keys of the entries that the list did not contain.
    pub fn unlisted(&self) -> impl Iterator<Item = &K> {
        self.entries.iter().filter(|(_, known)| !known.is_listed).map(|(key, _)| key)
    }

    /// Returns an entry.
    pub fn get<Q: Hash + indexmap::Equivalent<K> + ?Sized>(
        &self,
        key: &Q,
    ) -> Option<&VersionedEntry<T>> {
        self.entries.get(key)
    }

    /// Returns the entries, each with its key.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &VersionedEntry<T>)> + Clone {
        self.entries.iter()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
