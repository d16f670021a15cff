//! Divides an account's limit among the ingress nodes.

use ecow::EcoString;
use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_wire::RateLimit;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::forward::limits::{RateLimitPolicy, TokenPeers};
use crate::hash_name;

/// The maximum number of nodes that earn tokens of an account.
///
/// A node that is short asks a few peers at a time, so the tokens of an account must not be spread
/// over more nodes than it can ask while a request waits.
const MAX_EARNERS: usize = 8;

/// The minimum number of earners, so that an account keeps most of its rate when one is lost.
const MIN_EARNERS: usize = 3;

/// The tokens that an earner holds at least, if there are more than `MIN_EARNERS`.
const MIN_TOKENS_PER_EARNER: f64 = 4.0;

/// The number of ingress nodes that a process assumes at least in its first `SETTLE_US`, unless it
/// is told which exist.
const MIN_STARTUP_NODES: usize = 4;

/// The time after a start in which a node may not have heard of all its peers, in microseconds.
const SETTLE_US: u64 = 2_000_000;

/// The time for which a node that is not seen any more keeps its share, in microseconds: longer than
/// networks are usually split, since both parts would otherwise earn the whole rate.
const GONE_HOLDER_US: u64 = 300_000_000;

/// The longest time for which granted tokens may be used, in microseconds.
const MAX_LEASE_US: f64 = 2_000_000.0;

/// The time for which granted tokens can be used if a quarter of the burst suffices for it, in
/// microseconds: some intervals between asks.
const MIN_LEASE_US: f64 = 250_000.0;

/// The part of excess and slack that is earned with the rate, to make up for tokens that are lost in
/// transit or lie where no request comes.
const STEADY_FRACTION: f64 = 0.2;

/// The tokens of burst, excess and slack below which a part of the rate is used as stock: some on
/// each of `MIN_EARNERS`, after those for restarts and for leases.
const MIN_STOCK: f64 = 16.0;

/// The maximum part of the rate that is used as stock.
const MAX_STOCK_RATE_FRACTION: f64 = 0.1;

/// How the bound on an account's requests is divided.
///
/// Invariant: `rate_per_us` x window + `capacity` + `initial` + `rate_per_us` x `lease_us` is at
/// most (rate x window + burst) x (1 + excess) + slack. All fields are sums over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct TokenBudget {
    /// The tokens earned, per microsecond.
    pub rate_per_us: f64,
    /// The tokens that buckets hold.
    pub capacity: f64,
    /// The tokens that nodes hold when they start. Their earlier processes may have admitted the
    /// whole of the other parts in the same window.
    pub initial: f64,
    /// The time for which granted tokens may be used after they were asked for, in microseconds.
    /// Granted tokens in use or in transit were all earned in this time or are part of `capacity`.
    pub lease_us: f64,
}

impl TokenBudget {
    /// Divides the bound on an account's requests.
    pub(super) fn new(policy: &RateLimitPolicy, limit: RateLimit) -> Self {
        let window_us = policy.window_us.max(1) as f64;
        let rate_per_us = limit.rate_per_s.max(0.0) / 1e6;
        let burst = limit.burst.max(0.0);
        let per_window = rate_per_us * window_us;
        let additional = (per_window + burst) * policy.excess.max(0.0) + policy.slack.max(0.0);
        let steady = additional * STEADY_FRACTION;
        let (per_window, additional) = (per_window + steady, additional - steady);
        let missing = MIN_STOCK - burst - additional;
        let from_rate = missing.clamp(0.0, per_window * MAX_STOCK_RATE_FRACTION);
        let rate_per_us = (per_window - from_rate) / window_us;
        let burst = burst + from_rate;
        let least_lent = (burst / 4.0).min(rate_per_us * MIN_LEASE_US);
        let lent = (additional / 2.0).max(least_lent).min(rate_per_us * MAX_LEASE_US);
        let rest = burst + additional - lent;
        let initial = (additional / 2.0).min(rest / 2.0);
        Self {
            rate_per_us,
            capacity: rest - initial,
            initial,
            lease_us: lent / rate_per_us.max(f64::MIN_POSITIVE),
        }
    }
}

/// A node that holds a share.
#[derive(Debug, Clone)]
struct Holder {
    hash: u64,
    /// The time at which the node was last seen; `None` if it is alive.
    left_us: Option<u64>,
}

/// The ingress nodes that hold shares of the accounts' limits.
///
/// The nodes that were seen alive by this process or are known to exist hold shares. A node that is
/// not seen any more keeps its share for `GONE_HOLDER_US`, as it may be cut off and still use it,
/// even if another node has become an ingress node in its place. So the shares add up to one at
/// most, whichever nodes suspect each other.
#[derive(Debug, Clone)]
pub(super) struct ShareHolders {
    holders: IndexMap<EcoString, Holder>,
    own: Option<EcoString>,
    /// The number of holders after the last change.
    holder_count: usize,
    /// The nodes that are known to exist, alive or not; empty if that is unknown.
    known: IndexSet<EcoString>,
    /// Whether this node was told its peers.
    has_peers: bool,
    settling_since_us: u64,
    /// The number of changes of the holders; 0 before the first.
    pub generation: u64,
    /// The time since which this node's shares have not grown, in microseconds. They shrink when
    /// nodes join, and grow only when a holder is removed.
    pub earning_since_us: u64,
}

/// The nodes that earn tokens of an account, as one node sees them.
#[derive(Debug, Clone, Default)]
pub(super) struct Earners {
    /// The indices of the other earners among the holders.
    pub peers: Vec<usize>,
    /// Whether this node earns.
    pub is_own: bool,
}

impl ShareHolders {
    pub(super) fn new(now_us: u64) -> Self {
        Self {
            holders: IndexMap::new(),
            own: None,
            holder_count: 0,
            known: IndexSet::new(),
            has_peers: false,
            settling_since_us: now_us,
            generation: 0,
            earning_since_us: now_us,
        }
    }

    /// Replaces the nodes that are alive; returns whether this node may have become an earner.
    pub(super) fn set_peers(&mut self, now_us: u64, peers: TokenPeers) -> bool {
        let has_joined = self.has_peers && self.own.is_none() && peers.own.is_some();
        let is_new_role = self.own != peers.own;
        self.has_peers = true;
        if self.own.is_none() && peers.own.is_some() && self.holders.is_empty() {
            // The process has just joined, and has not heard of the other nodes yet.
            self.settling_since_us = now_us;
        }
        self.own = peers.own;
        let mut alive: IndexSet<EcoString> = peers.peers.into_iter().collect();
        alive.extend(self.own.clone());
        for (address, holder) in &mut self.holders {
            match (alive.contains(address), holder.left_us) {
                (true, _) => holder.left_us = None,
                (false, None) => holder.left_us = Some(now_us),
                (false, Some(_)) => {}
            }
        }
        let is_changed = self.add(alive, None);
        self.finish_change(now_us, is_new_role || is_changed, has_joined)
    }

    /// Replaces the nodes that are known to exist, alive or not; returns whether this node may have
    /// become an earner.
    pub(super) fn set_known(&mut self, now_us: u64, known: IndexSet<EcoString>) -> bool {
        self.known = known.clone();
        let is_changed = self.add(known, Some(now_us));
        self.finish_change(now_us, is_changed, false)
    }

    /// Adds the nodes that are no holders yet; returns whether there were any.
    fn add(&mut self, nodes: IndexSet<EcoString>, left_us: Option<u64>) -> bool {
        let count = self.holders.len();
        for address in nodes {
            let hash = hash_name(&address);
            self.holders.entry(address).or_insert(Holder { hash, left_us });
        }
        self.holders.len() > count
    }

    /// Removes nodes that are alive and no longer ingress nodes; returns whether this node may have
    /// become an earner.
    ///
    /// These nodes know their role and earn nothing, so others may earn their shares.
    pub(super) fn retire(&mut self, now_us: u64, nodes: &IndexSet<EcoString>) -> bool {
        let count = self.holders.len();
        self.holders.retain(|address, _| !nodes.contains(address));
        self.finish_change(now_us, self.holders.len() < count, false)
    }

    /// Removes the holders that have been gone for long; returns whether this node may have become
    /// an earner.
    fn finish_change(&mut self, now_us: u64, is_changed: bool, has_joined: bool) -> bool {
        let known = &self.known;
        self.holders.retain(|address, holder| {
            let kept_until_us = holder.left_us.map(|left_us| left_us + GONE_HOLDER_US);
            kept_until_us.is_none_or(|until_us| now_us < until_us) || known.contains(address)
        });
        let has_removed = self.holders.len() < self.holder_count;
        let is_changed = is_changed || has_removed;
        self.holder_count = self.holders.len();
        self.generation += u64::from(is_changed);
        let may_earn_more = has_joined || (has_removed && self.holder_count > MIN_EARNERS);
        if may_earn_more {
            self.earning_since_us = now_us;
        }
        may_earn_more
    }

    /// Returns the number of nodes that earn tokens of an account, of which the buckets hold
    /// `capacity`.
    pub(super) fn earner_count(&self, now_us: u64, capacity: f64) -> usize {
        let by_capacity = (capacity / MIN_TOKENS_PER_EARNER) as usize;
        by_capacity.clamp(MIN_EARNERS, MAX_EARNERS).min(self.assumed_nodes(now_us)).max(1)
    }

    /// Returns the part of an account's tokens that one of its earners holds.
    ///
    /// Nodes that are assumed but were not seen count too. A node that knows fewer than
    /// `MIN_EARNERS` holders is an earner of every account in its own view, so its part is smaller.
    pub(super) fn part(&self, now_us: u64, earner_count: usize) -> f64 {
        let seen_fraction = self.holder_count as f64 / self.assumed_nodes(now_us).max(1) as f64;
        let is_alone = self.holder_count < MIN_EARNERS;
        let earners = if is_alone { earner_count } else { earner_count.min(self.holder_count) };
        seen_fraction / earners as f64
    }

    fn assumed_nodes(&self, now_us: u64) -> usize {
        let is_settling = now_us < self.settling_since_us + SETTLE_US && self.known.is_empty();
        let least = if is_settling { MIN_STARTUP_NODES } else { 0 };
        self.holder_count.max(least)
    }

    /// Chooses the earners of an account by rendezvous hashing over all holders.
    pub(super) fn earners(&self, account_hash: u64, count: usize) -> Earners {
        let score = |holder: &Holder| xxh3_64_with_seed(&holder.hash.to_le_bytes(), account_hash);
        let mut ranked: Vec<(u64, usize)> = self
            .holders
            .values()
            .enumerate()
            .map(|(index, holder)| (score(holder), index))
            .collect();
        if ranked.len() > count {
            ranked.select_nth_unstable_by(count - 1, |one, other| other.cmp(one));
            ranked.truncate(count);
        }
        let own = self.own.as_ref().and_then(|own| self.holders.get_index_of(own));
        let mut earners = Earners::default();
        for (_, index) in ranked {
            match own == Some(index) {
                true => earners.is_own = true,
                false => earners.peers.push(index),
            }
        }
        earners
    }

    /// Returns the number of nodes that hold shares.
    pub(super) fn len(&self) -> usize {
        self.holders.len()
    }

    /// Returns the address of a holder that is alive.
    pub(super) fn alive_address(&self, index: usize) -> Option<&EcoString> {
        let (address, holder) = self.holders.get_index(index)?;
        holder.left_us.is_none().then_some(address)
    }
}
