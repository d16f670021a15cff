//! Repeats a request that crashes the replicas that run it, and checks how many attempts reach them.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use indexmap::IndexSet;
use sassafrasproxy_platform_standin::{ReceivedRequest, ReplicaStandIn, send_get_with_headers};

use crate::cluster::GatewayAddresses;
use crate::keys::Key;
use crate::schedule::Fault;

/// The text in the query of the request.
pub const CRASHING_TEXT: &str = "sku=crashing";

/// The path of the request, and of the sound ones beside it.
const PATH: &str = "/crash/find";

/// The deadline of each attempt, in milliseconds.
const ATTEMPT_DEADLINE_MS: u64 = 500;

/// The time after which the caller gives up on an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The pause between two attempts, after which the replicas that crashed are back.
///
/// A gateway that has just started is mostly asked for the first time once it is in touch.
const REPEAT_PAUSE: Duration = Duration::from_millis(1_200);

/// The time for which a gateway must have been undisturbed for the bound to hold.
const CONTACT_TIME: Duration = Duration::from_secs(4);

/// The maximum number of attempts that undisturbed gateways send to replicas after the third crash.
const MAX_LATER_ATTEMPTS: usize = 3;

/// Repeats the request; clones share one state.
#[derive(Clone, Default)]
pub struct CrashingCaller {
    is_stopped: Arc<AtomicBool>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
}

#[derive(Debug)]
struct Attempt {
    id: String,
    gateway: usize,
    sent_at: Instant,
}

impl CrashingCaller {
    /// Stops the caller after its current attempt.
    pub fn stop(&self) {
        self.is_stopped.store(true, Ordering::Relaxed);
    }

    /// Sends the request to the gateways in turn until `stop` is called.
    pub async fn run(self, addresses: GatewayAddresses) {
        let authorization = format!("Bearer {}", Key::Yard.text());
        let mut number = 0;
        while !self.is_stopped.load(Ordering::Relaxed) {
            let (gateway, address) = {
                let addresses = addresses.lock().unwrap();
                let gateway = number % addresses.len();
                (gateway, addresses[gateway])
            };
            let id = format!("crashing-{number}");
            let attempt = Attempt { id: id.clone(), gateway, sent_at: Instant::now() };
            self.attempts.lock().unwrap().push(attempt);
            ask(address, &authorization, CRASHING_TEXT, &id).await;
            tokio::time::sleep(REPEAT_PAUSE).await;
            // Answers to other queries of the path must not acquit the request.
            ask(address, &authorization, &format!("sku={number}"), &format!("sound-{number}"))
                .await;
            number += 1;
        }
    }

    /// Returns a violation if too many attempts of undisturbed gateways reached replicas after the
    /// third crash.
    pub fn check(
        &self,
        replicas: &[ReplicaStandIn],
        disturbances: &Disturbances,
    ) -> Option<String> {
        let mut received: Vec<ReceivedRequest> =
            replicas.iter().flat_map(ReplicaStandIn::received_requests).collect();
        received.retain(|request| request.attempt_id.starts_with("crashing-"));
        received.sort_by_key(|request| request.received_at);
        let ids = |requests: &[ReceivedRequest]| -> IndexSet<String> {
            requests.iter().map(|request| request.attempt_id.clone()).collect()
        };
        let (crashing, later) = received.split_at(received.len().min(3));
        let later = &ids(later) - &ids(crashing);
        let attempts = self.attempts.lock().unwrap();
        let is_counted = |attempt: &&Attempt| {
            later.contains(&attempt.id)
                && disturbances.is_undisturbed(attempt.gateway, attempt.sent_at)
        };
        let counted: Vec<&Attempt> = attempts.iter().filter(is_counted).collect();
        (counted.len() > MAX_LATER_ATTEMPTS).then(|| {
            format!(
                "a request that crashes replicas reached them in {} more attempts of undisturbed \
                 gateways, {} sends in all: {counted:?}",
                counted.len(),
                received.len()
            )
        })
    }
}

/// Sends a request with a query to a gateway; neither its answer matters nor whether the gateway is
/// there.
async fn ask(address: SocketAddr, authorization: &str, query: &str, id: &str) {
    let headers = [("authorization", authorization)];
    let path = format!("{PATH}?{query}");
    let request =
        send_get_with_headers(address, "soak.example", &path, id, ATTEMPT_DEADLINE_MS, &headers);
    let _ = tokio::time::timeout(ANSWER_TIMEOUT, request).await;
}

/// The disturbances of the gateways and of the store, in the order of time.
#[derive(Debug, Default)]
pub struct Disturbances {
    disturbances: Vec<Disturbance>,
}

#[derive(Debug)]
struct Disturbance {
    at: Instant,
    scope: Scope,
    /// Whether the disturbance ends, rather than begins.
    is_over: bool,
}

/// What a disturbance concerns; gateways are given by their index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Scope {
    Pause(usize),
    StoreWay(usize),
    Store,
}

impl Disturbances {
    /// Records that all disturbances of a gateway and of the store are over.
    pub fn record_calm(&mut self, gateway: usize) {
        self.record(Scope::Pause(gateway), true);
        self.record(Scope::StoreWay(gateway), true);
        self.record(Scope::Store, true);
    }

    /// Records that a fault was applied.
    pub fn record_fault(&mut self, fault: &Fault) {
        match *fault {
            Fault::Resume(gateway) => self.record(Scope::Pause(gateway), true),
            Fault::Pause(gateway) => self.record(Scope::Pause(gateway), false),
            Fault::StoreWayCut(gateway) | Fault::StoreWaySilenced(gateway) => {
                self.record(Scope::StoreWay(gateway), false);
            }
            Fault::StoreWaySound(gateway) => self.record(Scope::StoreWay(gateway), true),
            Fault::StoreRefuses | Fault::StoreSilent | Fault::StoreLosesAnswers => {
                self.record(Scope::Store, false);
            }
            Fault::StoreSound => self.record(Scope::Store, true),
            // A gateway that starts knows the quarantines before it serves callers.
            Fault::Kill(_)
            | Fault::Terminate(_)
            | Fault::Hangup(_)
            | Fault::ReplicaSlow(_)
            | Fault::ReplicaFails(_)
            | Fault::ReplicaSheds(_)
            | Fault::ReplicaSilent(_)
            | Fault::ReplicaCrosses(_)
            | Fault::ReplicaSound(_)
            | Fault::ReplicaDrains(_)
            | Fault::ReplicaUnlisted(_)
            | Fault::ReplicaListed(_)
            | Fault::WayDelays(_)
            | Fault::WayLosesRequests(_)
            | Fault::WayLosesAnswers(_)
            | Fault::WaySound(_)
            | Fault::WayReset(_)
            | Fault::WaySilenced(_)
            | Fault::RelayWayDelays(_)
            | Fault::RelayWayLosesAsks(_)
            | Fault::RelayWayLosesReplies(_)
            | Fault::RelayWaySound(_)
            | Fault::RelayWayReset(_)
            | Fault::RelayWaySilenced(_)
            | Fault::Configure
            | Fault::StoreForgets => {}
        }
    }

    /// Returns whether nothing had disturbed a gateway for [`CONTACT_TIME`] at a moment.
    fn is_undisturbed(&self, gateway: usize, at: Instant) -> bool {
        [Scope::Pause(gateway), Scope::StoreWay(gateway), Scope::Store].into_iter().all(|scope| {
            let of_scope = self.disturbances.iter().filter(|event| event.scope == scope);
            let last = of_scope.take_while(|event| event.at <= at).last();
            last.is_none_or(|last| last.is_over && at - last.at >= CONTACT_TIME)
        })
    }

    fn record(&mut self, scope: Scope, is_over: bool) {
        self.disturbances.push(Disturbance { at: Instant::now(), scope, is_over });
    }
}
