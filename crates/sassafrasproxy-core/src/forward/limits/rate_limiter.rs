//! Limits the rate of each client account over all nodes, without agreement between them.

use std::cmp::Reverse;

use ecow::EcoString;
use indexmap::{IndexMap, IndexSet};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use sassafrasproxy_wire::{RateLimit, TokenCount, TokenDatagram, TokenDemand};

use crate::forward::limits::shares::{Earners, ShareHolders, TokenBudget};
use crate::forward::limits::token_account::{EventRate, TokenAccount};
use crate::forward::limits::token_bucket::{BucketShare, TokenBucket};
use crate::forward::limits::token_exchange::{ASK_INTERVAL_US, AskLog, MAX_ASKS, PendingAsk};
use crate::{US_PER_MS, hash_name};

/// The maximum number of accounts that are kept.
const MAX_ACCOUNTS: usize = 16_384;

/// The time after which an unused account is forgotten if its bucket is full, in microseconds.
const IDLE_US: u64 = 10_000_000;

/// The interval at which idle accounts are forgotten, in microseconds.
const SWEEP_INTERVAL_US: u64 = 5_000_000;

/// The part of its capacity that a peer's bucket is expected to hold.
const EXPECTED_FILL: f64 = 0.7;

/// The maximum time for which a request waits for tokens, in microseconds.
const MAX_WAIT_US: u64 = 20_000;

/// The time after a request at this node for which its limit is used in place of that of a peer's
/// ask, in microseconds: nodes may have different configurations for some seconds.
const LIMIT_KNOWN_US: u64 = 2_000_000;

/// The maximum number of accounts in a datagram; so many fit into 1,200 bytes.
const MAX_ACCOUNTS_PER_ASK: usize = 34;

/// The bound on the requests of an account in any window, over all nodes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimitPolicy {
    /// The length of a window, in microseconds.
    pub window_us: u64,
    /// The fraction of the limit that may be admitted in addition to it.
    pub excess: f64,
    /// The number of requests in each window that may be admitted in addition to that.
    pub slack: f64,
}

/// The nodes among which the tokens of accounts are shared.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TokenPeers {
    /// The addresses for token datagrams of all ingress nodes that are alive, without this node.
    pub peers: Vec<EcoString>,
    /// The address of this node; `None` if it is not an ingress node.
    pub own: Option<EcoString>,
}

/// What happens to a request by its account's rate limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateDecision {
    /// The request has taken a token.
    Admit,
    /// This node is short of tokens and other nodes were asked: decide again when tokens arrive, at
    /// the latest at this time.
    Wait {
        /// The time of the next decision, in microseconds.
        until_us: u64,
    },
    /// The account is over its limit.
    Refuse {
        /// The time after which a token is likely, in milliseconds.
        retry_after_ms: u64,
    },
}

/// A datagram that the caller of [`RateLimiter`] has to send.
#[derive(Debug, Clone, PartialEq)]
pub struct OutgoingTokens {
    /// The address to send to.
    pub address: EcoString,
    /// The datagram.
    pub datagram: TokenDatagram,
}

/// What this node has admitted and refused of an account, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct AccountUsage {
    /// The account's name.
    pub account: EcoString,
    /// The tokens that this node holds.
    pub tokens: f64,
    /// The requests admitted since the account was last idle.
    pub admitted: u64,
    /// The requests refused in the same time.
    pub refused: u64,
}

/// The rate limits of client accounts at one node.
///
/// Answers accounts that send more than their limit, through any node and in any proportion, so
/// that others are not slowed down by them. Each node holds tokens and takes one for each request;
/// tokens are conserved: a node takes them out of its own bucket before it grants them to another.
/// So a lost message, a cut link or a node that fails loses tokens and never adds any.
#[derive(Debug)]
pub struct RateLimiter {
    policy: RateLimitPolicy,
    holders: ShareHolders,
    /// The accounts, by the hashes of their names.
    accounts: IndexMap<u64, TokenAccount>,
    /// The accounts of which this node is short.
    short: IndexSet<u64>,
    asks: AskLog,
    rng: StdRng,
    /// The time since which accounts that are not kept earn tokens, in microseconds.
    unkept_since_us: u64,
    /// Whether the accounts that are not kept held their initial tokens at that time.
    has_initial: bool,
    /// The time of the last asks for expected demand, in microseconds.
    ticked_us: u64,
    /// The time at which idle accounts were last forgotten.
    swept_us: u64,
}

impl RateLimiter {
    /// Creates a limiter of a node that starts now; `seed` decides in which order it asks peers.
    pub fn new(policy: RateLimitPolicy, seed: u64, now_us: u64) -> Self {
        Self {
            policy,
            holders: ShareHolders::new(now_us),
            accounts: IndexMap::new(),
            short: IndexSet::new(),
            asks: AskLog::new(),
            rng: StdRng::seed_from_u64(seed),
            unkept_since_us: now_us,
            has_initial: true,
            ticked_us: now_us,
            swept_us: now_us,
        }
    }

    /// Replaces the bound.
    pub fn set_policy(&mut self, now_us: u64, policy: RateLimitPolicy) {
        if policy == self.policy {
            return;
        }
        self.policy = policy;
        for account in self.accounts.values_mut() {
            account.budget = TokenBudget::new(&policy, account.limit);
            update_share(&self.holders, now_us, account, true);
        }
    }

    /// Replaces the nodes that share the tokens.
    pub fn set_peers(&mut self, now_us: u64, peers: TokenPeers) {
        if self.holders.set_peers(now_us, peers) {
            self.reset_unkept(now_us);
        }
    }

    /// Records the addresses for token datagrams of nodes that are alive and no ingress nodes, whose
    /// shares others may earn.
    pub fn retire_peers(&mut self, now_us: u64, addresses: Vec<EcoString>) {
        if self.holders.retire(now_us, &addresses.into_iter().collect()) {
            self.reset_unkept(now_us);
        }
    }

    /// Replaces the addresses for token datagrams of the ingress nodes that are known to exist,
    /// alive or not, from another source than these nodes; empty if there is none.
    ///
    /// Without it, a process that starts in a part of the network that is cut off divides the
    /// limits among the nodes of that part, and the bound does not hold until it is joined again.
    pub fn set_known_nodes(&mut self, now_us: u64, known: Vec<EcoString>) {
        if self.holders.set_known(now_us, known.into_iter().collect()) {
            self.reset_unkept(now_us);
        }
    }

    /// Decides on a request of an account; `waited` tells whether it has been decided on before.
    ///
    /// Admits it if this node has a token. Otherwise it waits for the tokens of peers, unless they
    /// are known to have none.
    pub fn admit(
        &mut self,
        now_us: u64,
        account: &EcoString,
        limit: RateLimit,
        waited: bool,
    ) -> RateDecision {
        let hash = hash_name(account);
        self.keep_account(now_us, hash, limit);
        let entry = &mut self.accounts[&hash];
        if entry.name.is_empty() {
            entry.name = account.clone();
        }
        entry.requested_us = Some(now_us);
        if !waited {
            entry.demand.record(now_us);
        }
        let is_admitted = entry.bucket.take();
        if is_admitted {
            entry.admitted += 1;
            entry.admissions.record(now_us);
            if waited {
                entry.waiting = entry.waiting.saturating_sub(1);
            }
        }
        let wait_until_us = match (is_admitted, waited) {
            (true, _) => None,
            (false, true) => entry.may_wait_on(now_us).then_some(entry.wait_until_us),
            (false, false) => wait_until_us(&self.holders, &self.asks, now_us, entry),
        };
        if entry.shortage(now_us) > 0.0 {
            self.short.insert(hash);
        }
        match wait_until_us {
            _ if is_admitted => RateDecision::Admit,
            Some(until_us) => RateDecision::Wait { until_us },
            None => RateDecision::Refuse {
                retry_after_ms: entry.refuse(now_us).div_ceil(US_PER_MS).max(1),
            },
        }
    }

    /// Decides on a request whose latency goal has passed, such as a retry after a refusal.
    ///
    /// While refusals have reserved future tokens, a late request gets a token only if this node
    /// holds more than it is expected to need for timely requests. Otherwise retries would take the
    /// tokens of timely requests, which then are refused and come back late themselves.
    pub fn admit_late(
        &mut self,
        now_us: u64,
        account: &EcoString,
        limit: RateLimit,
    ) -> RateDecision {
        let hash = hash_name(account);
        let is_contended =
            self.accounts.get(&hash).is_some_and(|entry| now_us < entry.reserved_until_us);
        if !is_contended {
            return self.admit(now_us, account, limit, false);
        }
        self.keep_account(now_us, hash, limit);
        let entry = &mut self.accounts[&hash];
        entry.requested_us = Some(now_us);
        if entry.bucket.take_above(entry.kept(now_us)) {
            entry.admitted += 1;
            entry.admissions.record(now_us);
            return RateDecision::Admit;
        }
        RateDecision::Refuse { retry_after_ms: entry.refuse(now_us).div_ceil(US_PER_MS).max(1) }
    }

    /// Returns the token of an admitted request that reached no replica.
    pub fn give_back(&mut self, now_us: u64, account: &EcoString) {
        if let Some(entry) = self.accounts.get_mut(&hash_name(account)) {
            update_share(&self.holders, now_us, entry, false);
            entry.bucket.give_back();
        }
    }

    /// Forgets idle accounts, and asks peers for tokens of the accounts that are short here.
    pub fn tick(&mut self, now_us: u64) -> Vec<OutgoingTokens> {
        self.asks.expire(now_us);
        if now_us >= self.swept_us + SWEEP_INTERVAL_US {
            self.swept_us = now_us;
            self.forget_idle(now_us);
        }
        let mut shortages = self.shortages(now_us);
        let is_due = now_us >= self.ticked_us + ASK_INTERVAL_US;
        if is_due {
            self.ticked_us = now_us;
        }
        let count = self.asks.allowance(now_us);
        let mut asked = IndexSet::new();
        let mut outgoing = Vec::new();
        while outgoing.len() < count {
            shortages.retain(|shortage| shortage.asks > 0);
            let Some(first) = shortages.iter().position(|shortage| is_due || shortage.is_urgent)
            else {
                break;
            };
            let Some(peer) = self.next_peer(shortages[first].account_hash, &asked) else {
                let shortage = shortages.remove(first);
                self.short.swap_remove(&shortage.account_hash);
                continue;
            };
            asked.insert(peer);
            let Some(ask) = self.ask(now_us, peer, &mut shortages) else { continue };
            outgoing.push(ask);
        }
        outgoing
    }

    /// Returns the time of the next tick, in microseconds; `None` while no account is kept.
    pub fn next_tick_us(&self) -> Option<u64> {
        if self.accounts.is_empty() {
            return None;
        }
        let sweep_us = self.swept_us + SWEEP_INTERVAL_US;
        if self.short.is_empty() {
            return Some(sweep_us);
        }
        let short = self.short.iter().filter_map(|hash| self.accounts.get(hash));
        let urgent_us = short.filter_map(TokenAccount::urgent_from_us).min();
        let urgent_us = urgent_us.map_or(u64::MAX, |us| us.max(self.asks.allowed_us()));
        Some(urgent_us.min(self.ticked_us + ASK_INTERVAL_US).min(sweep_us))
    }

    /// Applies a datagram of a peer, and returns the answer to it, if any.
    pub fn receive(
        &mut self,
        now_us: u64,
        from: &str,
        datagram: &TokenDatagram,
    ) -> Option<OutgoingTokens> {
        match datagram {
            TokenDatagram::Ask { id, wanted } => {
                let given = wanted
                    .iter()
                    .take(MAX_ACCOUNTS_PER_ASK)
                    .map(|demand| TokenCount {
                        account_hash: demand.account_hash,
                        tokens: self.grant(now_us, demand),
                    })
                    .collect();
                Some(OutgoingTokens {
                    address: from.into(),
                    datagram: TokenDatagram::Grant { id: *id, given },
                })
            }
            TokenDatagram::Grant { id, given } => {
                let mut ask = self.asks.answer(now_us, *id)?;
                for count in given {
                    let Some(asked) = ask.wanted.swap_remove(&count.account_hash) else { continue };
                    self.accept(now_us, ask.sent_us, count, asked);
                }
                None
            }
        }
    }

    /// Returns the use of the accounts that this node keeps, the busiest first.
    pub fn usage(&self, now_us: u64) -> Vec<AccountUsage> {
        let mut usage: Vec<AccountUsage> = self
            .accounts
            .values()
            .filter(|account| !account.name.is_empty())
            .map(|account| {
                let mut bucket = account.bucket.clone();
                bucket.refill(now_us);
                AccountUsage {
                    account: account.name.clone(),
                    tokens: bucket.available(),
                    admitted: account.admitted,
                    refused: account.refused,
                }
            })
            .collect();
        usage.sort_by_key(|usage| Reverse(usage.admitted + usage.refused));
        usage
    }

    /// Brings an account that is kept up to date, or adds it.
    fn keep_account(&mut self, now_us: u64, hash: u64, limit: RateLimit) {
        if let Some(account) = self.accounts.get_mut(&hash) {
            let is_new_limit = account.limit != limit;
            if is_new_limit {
                account.limit = limit;
                account.budget = TokenBudget::new(&self.policy, limit);
            }
            account.used_us = now_us;
            update_share(&self.holders, now_us, account, is_new_limit);
            return;
        }
        if self.accounts.len() >= MAX_ACCOUNTS {
            self.make_room(now_us);
        }
        let account = self.new_account(now_us, hash, limit);
        self.accounts.insert(hash, account);
    }

    /// Creates an account that was not kept, with the tokens that it has earned meanwhile.
    fn new_account(&mut self, now_us: u64, hash: u64, limit: RateLimit) -> TokenAccount {
        let budget = TokenBudget::new(&self.policy, limit);
        let earner_count = self.holders.earner_count(now_us, budget.capacity);
        let earners = self.holders.earners(hash, earner_count);
        let part = part(&self.holders, now_us, &earners, earner_count);
        let share = BucketShare::new(&budget, part);
        let bucket = TokenBucket::new(now_us, self.unkept_since_us, self.has_initial, share);
        let next_peer = self.rng.random_range(0..MAX_ACCOUNTS);
        TokenAccount {
            hash,
            name: EcoString::new(),
            limit,
            budget,
            bucket,
            earners,
            generation: self.holders.generation,
            earner_count,
            part,
            requested_us: None,
            used_us: now_us,
            demand: EventRate::default(),
            admissions: EventRate::default(),
            admitted: 0,
            refused: 0,
            next_peer,
            waiting: 0,
            wait_until_us: 0,
            waited_until_us: 0,
            pending: 0.0,
            asked_us: 0,
            empty_answers: 0,
            exhausted_until_us: 0,
            reserved_until_us: 0,
        }
    }

    /// Forgets unused accounts whose buckets are full; that of a new account holds no more.
    fn forget_idle(&mut self, now_us: u64) {
        let holders = &self.holders;
        self.accounts.retain(|_, account| {
            if now_us < account.used_us + IDLE_US {
                return true;
            }
            update_share(holders, now_us, account, false);
            !account.bucket.is_full()
        });
    }

    /// Makes room for an account: forgets idle ones, else those that were used least lately.
    ///
    /// Accounts that are not kept then start without tokens, as the forgotten ones may have used
    /// theirs.
    fn make_room(&mut self, now_us: u64) {
        self.forget_idle(now_us);
        if self.accounts.len() < MAX_ACCOUNTS {
            return;
        }
        let mut used: Vec<u64> = self.accounts.values().map(|account| account.used_us).collect();
        let (_, last_us, _) = used.select_nth_unstable(MAX_ACCOUNTS / 16);
        let last_us = *last_us;
        self.accounts.retain(|_, account| account.used_us > last_us);
        self.reset_unkept(now_us);
    }

    /// Lets accounts that are not kept earn tokens from now on only, without initial tokens.
    fn reset_unkept(&mut self, now_us: u64) {
        self.unkept_since_us = now_us;
        self.has_initial = false;
    }

    /// Takes the tokens out of this node's bucket that a peer asks for and that can be spared.
    fn grant(&mut self, now_us: u64, demand: &TokenDemand) -> f64 {
        let limit = demand.limit;
        let is_valid = limit.rate_per_s.is_finite()
            && limit.burst.is_finite()
            && demand.tokens.is_finite()
            && limit.rate_per_s > 0.0
            && demand.tokens > 0.0;
        if !is_valid {
            return 0.0;
        }
        let known = self.accounts.get(&demand.account_hash).filter(|account| {
            account.requested_us.is_some_and(|last_us| now_us < last_us + LIMIT_KNOWN_US)
        });
        let limit = known.map_or(limit, |account| account.limit);
        self.keep_account(now_us, demand.account_hash, limit);
        let account = &mut self.accounts[&demand.account_hash];
        let kept = account.kept(now_us);
        account.bucket.grant(demand.tokens, kept)
    }

    /// Adds granted tokens, which may be used for a limited time after their ask.
    fn accept(&mut self, now_us: u64, sent_us: u64, count: &TokenCount, asked: f64) {
        let Some(account) = self.accounts.get_mut(&count.account_hash) else { return };
        update_share(&self.holders, now_us, account, false);
        let tokens = if count.tokens > 0.0 { count.tokens.min(asked) } else { 0.0 };
        account.record_answer(now_us, tokens, asked, self.holders.len());
        let expires_us = sent_us + account.budget.lease_us as u64;
        if tokens > 0.0 && expires_us > now_us {
            account.bucket.add_lease(tokens, expires_us);
        }
    }

    /// Returns what this node is short of now, and drops the accounts that are not short.
    fn shortages(&mut self, now_us: u64) -> Vec<Shortage> {
        let mut shortages = Vec::new();
        let Self { holders, accounts, short, .. } = self;
        short.retain(|hash| {
            let Some(account) = accounts.get_mut(hash) else { return false };
            update_share(holders, now_us, account, false);
            if now_us >= account.wait_until_us || account.is_exhausted(now_us) {
                account.waiting = 0;
            }
            let urgent_from_us = account.urgent_from_us();
            let tokens = account.shortage(now_us);
            if tokens <= 0.0 {
                return urgent_from_us.is_some();
            }
            let per_peer = account.budget.capacity / account.earner_count as f64;
            let asks = (tokens / per_peer / EXPECTED_FILL).ceil().clamp(1.0, MAX_ASKS as f64);
            shortages.push(Shortage {
                account_hash: *hash,
                tokens: tokens / asks,
                asks: asks as usize,
                is_urgent: urgent_from_us.is_some_and(|from_us| from_us <= now_us),
                asked_us: account.asked_us,
            });
            true
        });
        // An account that is always short must not take the asks of the others.
        shortages.sort_by_key(|shortage| (!shortage.is_urgent, shortage.asked_us));
        shortages
    }

    /// Chooses the peer to ask next for an account, among those that were not asked now.
    fn next_peer(&self, account_hash: u64, asked: &IndexSet<usize>) -> Option<usize> {
        let account = &self.accounts[&account_hash];
        let peers = &account.earners.peers;
        (0..peers.len())
            .map(|offset| peers[(account.next_peer + offset) % peers.len()])
            .find(|peer| !asked.contains(peer) && self.holders.alive_address(*peer).is_some())
    }

    /// Asks a peer for tokens of all accounts that it earns and that are short here.
    fn ask(
        &mut self,
        now_us: u64,
        peer: usize,
        shortages: &mut [Shortage],
    ) -> Option<OutgoingTokens> {
        let address = self.holders.alive_address(peer)?.clone();
        let mut wanted = Vec::new();
        for shortage in shortages.iter_mut().filter(|shortage| shortage.asks > 0) {
            let Some(account) = self.accounts.get_mut(&shortage.account_hash) else { continue };
            let Some(position) = account.earners.peers.iter().position(|index| *index == peer)
            else {
                continue;
            };
            if wanted.len() >= MAX_ACCOUNTS_PER_ASK {
                break;
            }
            shortage.asks -= 1;
            account.next_peer = position + 1;
            account.pending = account.pending(now_us) + shortage.tokens;
            account.asked_us = now_us;
            wanted.push(TokenDemand {
                account_hash: shortage.account_hash,
                tokens: shortage.tokens,
                limit: account.limit,
            });
        }
        let tokens = wanted.iter().map(|demand| (demand.account_hash, demand.tokens)).collect();
        let id = self.asks.send(&mut self.rng, PendingAsk { sent_us: now_us, wanted: tokens });
        Some(OutgoingTokens { address, datagram: TokenDatagram::Ask { id, wanted } })
    }
}

/// Tokens that this node is short of.
struct Shortage {
    account_hash: u64,
    /// The tokens to ask each peer for.
    tokens: f64,
    /// The number of peers to ask.
    asks: usize,
    /// Whether requests wait for them.
    is_urgent: bool,
    asked_us: u64,
}

/// Returns until when a request may wait for tokens of peers; `None` if none are expected.
fn wait_until_us(
    holders: &ShareHolders,
    asks: &AskLog,
    now_us: u64,
    account: &mut TokenAccount,
) -> Option<u64> {
    let can_ask = account.budget.lease_us > 0.0
        && !account.is_exhausted(now_us)
        && account.earners.peers.iter().any(|peer| holders.alive_address(*peer).is_some());
    if !can_ask {
        return None;
    }
    if now_us >= account.wait_until_us {
        if asks.allowed_us() > now_us + MAX_WAIT_US / 2 {
            return None;
        }
        account.waiting = 0;
        account.pending = account.pending(now_us);
        account.waited_until_us = account.wait_until_us;
        account.wait_until_us = now_us + MAX_WAIT_US;
    }
    if f64::from(account.waiting) >= account.budget.capacity {
        return None;
    }
    account.waiting += 1;
    Some(account.wait_until_us)
}

/// Brings an account's tokens and share up to date.
fn update_share(
    holders: &ShareHolders,
    now_us: u64,
    account: &mut TokenAccount,
    is_new_budget: bool,
) {
    let earner_count = holders.earner_count(now_us, account.budget.capacity);
    let is_new_generation = account.generation != holders.generation;
    if is_new_generation || earner_count != account.earner_count {
        account.earners = holders.earners(account.hash, earner_count);
        account.generation = holders.generation;
        account.earner_count = earner_count;
    }
    let part = part(holders, now_us, &account.earners, earner_count);
    if is_new_generation || is_new_budget || part != account.part {
        account.part = part;
        let share = BucketShare::new(&account.budget, part);
        account.bucket.set_share(now_us, holders.earning_since_us, share);
    }
    account.bucket.refill(now_us);
}

/// Returns the part of an account's budget that is this node's.
fn part(holders: &ShareHolders, now_us: u64, earners: &Earners, earner_count: usize) -> f64 {
    if earners.is_own { holders.part(now_us, earner_count) } else { 0.0 }
}
