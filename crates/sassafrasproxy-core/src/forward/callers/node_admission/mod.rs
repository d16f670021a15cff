//! Decides which requests a node starts, and in which order, when there is less room than requests.
//!
//! Two things can be short: replicas that can take a request (`usable_in_us` of the pool), and the
//! node's own processor (`ProcessorLoad`). Both have the same queue and the same order.

mod processor_load;
mod served_shares;

use ecow::EcoString;
use indexmap::IndexMap;

use self::processor_load::ProcessorLoad;
use self::served_shares::ServedShares;
use super::admission::{Admission, admit};
use crate::US_PER_MS;

pub use self::processor_load::LoadLevel;

/// The shortest goal by which the maximum wait of a request is computed while the processor is not
/// short, in microseconds.
///
/// A caller that comes back after its goal is still served late, so its request is not refused for
/// a wait of a few milliseconds.
const MIN_GOAL_US: u64 = 40 * US_PER_MS;

/// The number of requests in progress from which a late timer counts as load.
const MIN_REQUESTS_FOR_LOAD: usize = 2;

/// The maximum number of waiting requests; a request waits for a fraction of its goal only, so a
/// longer queue could not be served in time.
const MAX_WAITING: usize = 128;

/// The fraction of the starts below which a less urgent rank may be starved.
const MIN_STARTED_FRACTION: f64 = 0.125;

/// The factor of the share served of all requests below which a less urgent rank may be starved; it
/// protects a rank to which most requests belong.
const MIN_RANK_SHARE_FACTOR: f64 = 0.375;

/// The factor of the share served of other requests below which a rank or account is starved, and
/// others no longer go first.
const MIN_SHARE_FACTOR: f64 = 0.5;

/// The factor of the mean work of accounts from which an account is over its share.
const MAX_WORK_FACTOR: f64 = 2.0;

/// The maximum number of more urgent ranks that a request leaves room for.
const MAX_RANKS_AHEAD: usize = 2;

/// The room that a request leaves for each more urgent rank, in requests of the largest size.
const RANK_RESERVE_UNITS: f64 = 1.0;

/// The room that an account over its share leaves for other accounts, in requests of the largest
/// size.
const ACCOUNT_RESERVE_UNITS: f64 = 0.5;

/// The time between two requests of a room, in microseconds, as far as it can be foreseen.
const ROOM_STEP_US: u64 = US_PER_MS;

/// The fraction of the pace that is planned for callers who come back after a refusal; the rest is
/// for new requests.
const RETURN_FRACTION: f64 = 0.5;

/// The longest time ahead for which a return is planned, in microseconds.
const MAX_RETURN_US: u64 = 2_000 * US_PER_MS;

/// The shell's id of a request in the admission; not used twice.
pub type AdmissionId = u64;

/// A request that asks to be started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// The id of the request.
    pub id: AdmissionId,
    /// The rank of the request; 0 is the most urgent.
    pub rank: u32,
    /// The name of the client account; empty where requests have none.
    pub account: EcoString,
    /// What the request needs replicas of: a service, or the route of a query over shards. Requests
    /// with the same room compete for the same replicas.
    pub room: EcoString,
    /// The expected cost in sub-requests, at least 1.
    pub cost: u32,
    /// The time of the arrival, in microseconds.
    pub arrived_us: u64,
    /// The time at which the caller's latency goal ends, in microseconds.
    pub goal_deadline_us: u64,
    /// The time after which an answer is of no use, in microseconds; `u64::MAX` if unknown.
    pub deadline_us: u64,
}

/// The final decision on a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Start the request.
    Start,
    /// Refuse the request.
    Refuse(AdmissionRefusal),
}

/// Why and for how long a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// What is short.
    pub cause: RefusalCause,
    /// The time until room is expected for the request, in microseconds, `None` if it is unknown.
    pub room_in_us: Option<u64>,
}

/// What a refused request lacked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RefusalCause {
    /// No replica is known that will be usable.
    NoReplica,
    /// The replicas are busy for longer than the request may wait.
    ReplicasBusy,
    /// The node's processor is busy for longer than the request may wait.
    ProcessorBusy,
    /// The queue is full of requests that go first.
    QueueFull,
    /// The time of the request is over.
    TimeOver,
}

impl RefusalCause {
    /// Returns the name of the cause in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoReplica => "no_replica",
            Self::ReplicasBusy => "replicas_busy",
            Self::ProcessorBusy => "processor_busy",
            Self::QueueFull => "queue_full",
            Self::TimeOver => "time_over",
        }
    }
}

/// The sends beyond the first that the load allows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExtraSends {
    /// Hedges and retries.
    All,
    /// Retries only: the load is above normal, or requests wait for their first send.
    RetriesOnly,
    /// None: there is no room for all first sends.
    None,
}

/// The state of the admission, for metrics and logs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionStatus {
    /// The number of started requests that have not ended.
    pub in_progress: usize,
    /// The number of waiting requests.
    pub waiting: usize,
    /// How late the last timer fired, in microseconds.
    pub lateness_us: u64,
    /// The load of the processor.
    pub load: LoadLevel,
    /// The number of sub-requests that may be started each second; `None` without limit.
    pub pace_per_s: Option<f64>,
    /// The number of accounts whose use is kept.
    pub tracked_accounts: usize,
}

/// Decides which requests of callers a node starts, which wait, and which it refuses.
///
/// While no timer is late and replicas are usable, every request is started at once. Otherwise:
///
/// - A burst beyond what the processor can do: the start of requests is paced (`ProcessorLoad`).
/// - Requests of several ranks: more urgent ones go first. Less urgent ones leave room for one more
///   urgent request (trunk reservation), so that a request which comes a moment later need not wait.
/// - A burst of urgent requests: a less urgent rank keeps an eighth of the starts, and more if it is
///   served much less often than all, but only while it is served less than half as often as the
///   more urgent ones.
/// - One account that asks for much more than others: the accounts of a rank are ordered by their
///   recent work, the least first (start-time fair queueing with decaying counts). An account
///   far above the mean leaves room for the others, as long as it is served at least half as often
///   as all.
/// - Replicas that are busy for some milliseconds: requests wait up to an eighth of their goal, as
///   [`admit`] has it, in the same order.
/// - Requests whose goal is over: they go after the others of their rank.
/// - Requests that cannot be served in time: they are refused when this is foreseen, not after
///   their wait. Each is given a later time to come back than those refused before it.
#[derive(Debug, Default)]
pub struct NodeAdmission {
    load: ProcessorLoad,
    ranks: ServedShares<u32>,
    accounts: ServedShares<EcoString>,
    waiting: Vec<AdmissionRequest>,
    /// The maximum number of requests in progress since the last reading of a timer.
    peak_in_progress: usize,
    /// The requests in progress.
    started: IndexMap<AdmissionId, AdmissionRequest>,
    /// The time until which returns of refused callers are planned, in microseconds.
    returns_until_us: u64,
}

/// The place of a waiting request in the order of service.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Place {
    rank: u32,
    goes_last: bool,
    /// The work of the account, with the requests of the account that go before this one.
    virtual_start: f64,
    arrived_us: u64,
}

/// The room that is left for waiting requests, in their order.
struct RoomLeft<'a> {
    usable_in_us: &'a mut dyn FnMut(&str) -> Option<u64>,
    /// The time until each room is usable, and the number of requests ahead in it.
    rooms: IndexMap<EcoString, (Option<u64>, u64)>,
    /// The work of the waiting requests ahead, in sub-requests.
    work_ahead: f64,
    /// Whether a request was started in this call.
    has_started: bool,
}

impl NodeAdmission {
    /// Takes in a request and returns the decisions that are due; if none is on the request, it
    /// waits.
    ///
    /// `usable_in_us` returns the time until a room's replicas can probably take a request, in
    /// microseconds: 0 if they can now, `None` if it is unknown.
    pub fn arrive(
        &mut self,
        now_us: u64,
        request: AdmissionRequest,
        mut usable_in_us: impl FnMut(&str) -> Option<u64>,
    ) -> Vec<(AdmissionId, AdmissionDecision)> {
        self.ranks.record_arrival(now_us, &request.rank);
        self.accounts.record_arrival(now_us, &request.account);
        let is_room_free = self.waiting.is_empty()
            && self.load.start_in_us(now_us, 0.0, 0.0) == 0
            && !self.load.is_paced()
            && now_us < request.deadline_us
            && usable_in_us(&request.room) == Some(0);
        if is_room_free {
            let id = request.id;
            self.start(now_us, request);
            return vec![(id, AdmissionDecision::Start)];
        }
        self.waiting.push(request);
        self.tick(now_us, usable_in_us)
    }

    /// Takes back a started request that no replica could take after all, and decides again.
    ///
    /// Another request may have taken the last place since the decision.
    pub fn wait_again(
        &mut self,
        now_us: u64,
        id: AdmissionId,
        usable_in_us: impl FnMut(&str) -> Option<u64>,
    ) -> Vec<(AdmissionId, AdmissionDecision)> {
        if let Some(request) = self.started.swap_remove(&id) {
            self.waiting.push(request);
        }
        self.tick(now_us, usable_in_us)
    }

    /// Records that a request has ended or its caller has left, whether it was started or waits.
    pub fn end(&mut self, now_us: u64, id: AdmissionId) {
        self.waiting.retain(|request| request.id != id);
        if let Some(request) = self.started.swap_remove(&id) {
            self.load.record_end(now_us, f64::from(request.cost));
        }
    }

    /// Sets when the timer of the traffic thread that is measured next is due, in microseconds;
    /// `None` if none is.
    pub fn expect_timer(&mut self, due_us: Option<u64>) {
        self.load.expect_timer(due_us);
    }

    /// Records how late a timer of the traffic thread fired, in microseconds.
    pub fn record_lateness(&mut self, now_us: u64, lateness_us: u64) {
        let capacity_units = self.capacity_units(now_us);
        // A request that is alone delays only itself, and holding up others would not help it.
        let is_shared = self.peak_in_progress >= MIN_REQUESTS_FOR_LOAD;
        let lateness_us = if is_shared { lateness_us } else { 0 };
        self.load.record_lateness(now_us, lateness_us, capacity_units);
        self.peak_in_progress = self.started.len();
    }

    /// Returns the decisions that are due, in the order of service.
    ///
    /// At most one request is started in one call, because the pool does not know of it yet, and
    /// rooms may have replicas in common. Call again once it has been sent.
    pub fn tick(
        &mut self,
        now_us: u64,
        mut usable_in_us: impl FnMut(&str) -> Option<u64>,
    ) -> Vec<(AdmissionId, AdmissionDecision)> {
        let capacity_units = self.capacity_units(now_us);
        self.load.update_pace(now_us, capacity_units);
        let mut decisions = Vec::new();
        let mut left = RoomLeft {
            usable_in_us: &mut usable_in_us,
            rooms: IndexMap::new(),
            work_ahead: 0.0,
            has_started: false,
        };
        for request in self.take_in_order(now_us) {
            let id = request.id;
            match self.decide(now_us, &request, &mut left) {
                Some(AdmissionDecision::Start) => {
                    left.add_ahead(&request, 0.0);
                    left.has_started = true;
                    self.start(now_us, request);
                    decisions.push((id, AdmissionDecision::Start));
                }
                Some(refusal) => decisions.push((id, refusal)),
                None => {
                    left.add_ahead(&request, f64::from(request.cost));
                    self.waiting.push(request);
                }
            }
        }
        decisions
    }

    /// Returns the time of the next tick, in microseconds; `None` while nothing waits.
    ///
    /// A tick is also due when a request has ended.
    pub fn next_tick_us(
        &self,
        now_us: u64,
        mut usable_in_us: impl FnMut(&str) -> Option<u64>,
    ) -> Option<u64> {
        let mut rooms: IndexMap<&str, u64> = IndexMap::new();
        let mut wait_us: Option<u64> = None;
        for request in &self.waiting {
            let room = request.room.as_str();
            let room_us = *rooms.entry(room).or_insert_with(|| usable_in_us(room).unwrap_or(0));
            let reserve = self.reserve(now_us, request);
            let start_us = self.load.start_in_us(now_us, f64::from(request.cost), reserve);
            let request_us = room_us.max(start_us).max(ROOM_STEP_US);
            wait_us = Some(wait_us.map_or(request_us, |wait_us| wait_us.min(request_us)));
        }
        wait_us.map(|wait_us| now_us + wait_us)
    }

    /// Returns which extra sends the load allows.
    ///
    /// They stop before first sends do: a hedge repeats work that is in progress, and a retry gives
    /// one more chance to a request that has had one.
    pub fn extra_sends(&self, now_us: u64) -> ExtraSends {
        if self.load.is_paced() && self.load.start_in_us(now_us, 0.0, self.load.unit(now_us)) > 0 {
            return ExtraSends::None;
        }
        let is_normal = self.load.level(now_us) == LoadLevel::Normal && !self.load.is_paced();
        if is_normal && self.waiting.is_empty() { ExtraSends::All } else { ExtraSends::RetriesOnly }
    }

    /// Returns the state for metrics and logs.
    pub fn status(&self, now_us: u64) -> AdmissionStatus {
        AdmissionStatus {
            in_progress: self.started.len(),
            waiting: self.waiting.len(),
            lateness_us: self.load.lateness_us(now_us),
            load: self.load.level(now_us),
            pace_per_s: self.load.pace_per_s(),
            tracked_accounts: self.accounts.len(),
        }
    }

    fn start(&mut self, now_us: u64, request: AdmissionRequest) {
        let cost = f64::from(request.cost);
        self.ranks.record_start(now_us, &request.rank, cost);
        self.accounts.record_start(now_us, &request.account, cost);
        self.load.record_start(now_us, cost);
        self.started.insert(request.id, request);
        self.peak_in_progress = self.peak_in_progress.max(self.started.len());
    }

    /// Decides on the next request in the order of service; `None` if it waits.
    fn decide(
        &mut self,
        now_us: u64,
        request: &AdmissionRequest,
        left: &mut RoomLeft<'_>,
    ) -> Option<AdmissionDecision> {
        let refuse = |cause, room_in_us| {
            Some(AdmissionDecision::Refuse(AdmissionRefusal { cause, room_in_us }))
        };
        if now_us >= request.deadline_us {
            return refuse(RefusalCause::TimeOver, None);
        }
        let Some(room_in_us) = left.room_in_us(request) else {
            return refuse(RefusalCause::NoReplica, None);
        };
        let tokens = left.work_ahead + f64::from(request.cost);
        let mut start_in_us = self.load.start_in_us(now_us, tokens, self.reserve(now_us, request));
        if self.started.is_empty() {
            // However slow the processor, a node that serves nothing starts a request.
            start_in_us = 0;
        }
        if start_in_us > 0 {
            self.load.record_held_up(now_us);
        }
        let expected_in_us = room_in_us.max(start_in_us);
        let min_goal_us = if self.load.is_paced() { 0 } else { MIN_GOAL_US };
        let goal_us = request.goal_deadline_us.max(request.arrived_us + min_goal_us);
        let has_place = self.waiting.len() < MAX_WAITING;
        let cause = match admit(now_us, request.arrived_us, goal_us, Some(expected_in_us)) {
            Admission::Admit if !left.has_started => return Some(AdmissionDecision::Start),
            Admission::Admit | Admission::Wait { .. } if has_place => return None,
            Admission::Admit | Admission::Wait { .. } => RefusalCause::QueueFull,
            Admission::Refuse if start_in_us > room_in_us => RefusalCause::ProcessorBusy,
            Admission::Refuse => RefusalCause::ReplicasBusy,
        };
        let room_in_us = self.plan_return(now_us, expected_in_us, request);
        refuse(cause, Some(room_in_us))
    }

    /// Plans the return of a refused caller after those planned before; returns the time until
    /// then, in microseconds.
    ///
    /// Callers that are refused together and come back together would be refused together again.
    fn plan_return(&mut self, now_us: u64, expected_in_us: u64, request: &AdmissionRequest) -> u64 {
        let expected_us = now_us + expected_in_us.min(MAX_RETURN_US);
        let at_us = expected_us.max(self.returns_until_us.min(now_us + MAX_RETURN_US));
        let step_us = match self.load.pace_per_s() {
            Some(pace_per_s) => f64::from(request.cost) * 1e6 / (pace_per_s * RETURN_FRACTION),
            None => ROOM_STEP_US as f64,
        };
        self.returns_until_us = at_us + (step_us as u64).min(MAX_RETURN_US);
        at_us - now_us
    }

    /// Takes the waiting requests out, in the order of service.
    fn take_in_order(&mut self, now_us: u64) -> Vec<AdmissionRequest> {
        let mut waiting = std::mem::take(&mut self.waiting);
        if waiting.len() < 2 {
            return waiting;
        }
        waiting.sort_by_key(|request| request.arrived_us);
        let mut work_ahead: IndexMap<EcoString, f64> = IndexMap::new();
        let places = waiting.iter().map(|request| {
            let ahead = work_ahead.entry(request.account.clone()).or_default();
            let virtual_start = self.accounts.work(now_us, &request.account) + *ahead;
            *ahead += f64::from(request.cost);
            Place {
                rank: self.effective_rank(now_us, request.rank),
                goes_last: self.goes_last(now_us, request),
                virtual_start,
                arrived_us: request.arrived_us,
            }
        });
        let places: Vec<Place> = places.collect();
        let mut ordered: Vec<_> = places.into_iter().zip(waiting).collect();
        ordered.sort_by(|(a, _), (b, _)| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
        ordered.into_iter().map(|(_, request)| request).collect()
    }

    /// Returns the room that a request leaves for others, in sub-requests; 0 without a pace.
    fn reserve(&self, now_us: u64, request: &AdmissionRequest) -> f64 {
        if !self.load.is_paced() {
            return 0.0;
        }
        let rank = self.effective_rank(now_us, request.rank);
        let ahead = self.ranks.active(now_us).filter(|active| **active < rank).count();
        let mut units = RANK_RESERVE_UNITS * ahead.min(MAX_RANKS_AHEAD) as f64;
        if self.goes_last(now_us, request) {
            units += ACCOUNT_RESERVE_UNITS;
        }
        units * self.load.unit(now_us)
    }

    /// Returns the size of the bucket, in requests of the largest size: one, and the most room that
    /// a request leaves for others.
    fn capacity_units(&self, now_us: u64) -> f64 {
        let ranks = self.ranks.active(now_us).count().saturating_sub(1).min(MAX_RANKS_AHEAD);
        1.0 + RANK_RESERVE_UNITS * ranks as f64 + ACCOUNT_RESERVE_UNITS
    }

    /// Returns the rank by which requests of a rank are served now: the most urgent one for a rank
    /// that would be starved otherwise.
    fn effective_rank(&self, now_us: u64, rank: u32) -> u32 {
        let Some(most_urgent) = self.ranks.active(now_us).min().filter(|least| **least < rank)
        else {
            return rank;
        };
        let urgent_share = self.ranks.share_of(now_us, |other| *other < rank);
        let share = self.ranks.share(now_us, &rank);
        let is_below_floor = self.ranks.started_fraction(now_us, &rank) < MIN_STARTED_FRACTION
            || share < MIN_RANK_SHARE_FACTOR * self.ranks.total_share(now_us);
        let is_starved = is_below_floor && share < MIN_SHARE_FACTOR * urgent_share;
        if is_starved { *most_urgent } else { rank }
    }

    /// Returns whether a request goes after the others of its rank: its goal is over, or its account
    /// is over its share.
    fn goes_last(&self, now_us: u64, request: &AdmissionRequest) -> bool {
        now_us >= request.goal_deadline_us || self.is_over_share(now_us, &request.account)
    }

    /// Returns whether the recent work of an account is far above the mean and it is not starved.
    fn is_over_share(&self, now_us: u64, account: &EcoString) -> bool {
        self.accounts.work(now_us, account) > MAX_WORK_FACTOR * self.accounts.mean_work(now_us)
            && self.accounts.share(now_us, account)
                >= MIN_SHARE_FACTOR * self.accounts.total_share(now_us)
    }
}

impl RoomLeft<'_> {
    /// Returns the time until a request finds its room, in microseconds; `None` if unknown.
    fn room_in_us(&mut self, request: &AdmissionRequest) -> Option<u64> {
        let (usable_in_us, ahead) = match self.rooms.get(&request.room) {
            Some(room) => *room,
            None => {
                let usable_in_us = (self.usable_in_us)(&request.room);
                self.rooms.insert(request.room.clone(), (usable_in_us, 0));
                (usable_in_us, 0)
            }
        };
        Some(usable_in_us? + ahead * ROOM_STEP_US)
    }

    /// Records that a request goes before the following ones; `work` is what it takes of the tokens
    /// that are left.
    fn add_ahead(&mut self, request: &AdmissionRequest, work: f64) {
        if let Some((_, ahead)) = self.rooms.get_mut(&request.room) {
            *ahead += 1;
        }
        self.work_ahead += work;
    }
}
