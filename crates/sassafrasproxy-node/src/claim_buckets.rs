//! The buckets of claims of a node, one task for each that it serves.

use std::sync::{Arc, Mutex, PoisonError};

use ecow::{EcoString, eco_format};
use indexmap::IndexMap;
use sassafrasproxy_clock::unix_time_ms;
use sassafrasproxy_core::{
    ClaimBucket, ClaimEffect, ClaimEvent, ClaimId, StoreCall, StoreResult, claim_bucket_of,
};
use sassafrasproxy_wire::{ClaimAnswer, ClaimRequest, Ending, RecordEndingRequest};
use tokio::sync::{mpsc, oneshot};

use crate::peer_client::PeerError;
use crate::shared::Shared;
use crate::{PlatformClient, PlatformError};

/// The running buckets by number.
#[derive(Debug, Default)]
pub struct ClaimBuckets {
    senders: Mutex<IndexMap<u32, mpsc::UnboundedSender<BucketInput>>>,
}

/// What a bucket's task takes in.
#[derive(Debug)]
enum BucketInput {
    Claim { request: ClaimRequest, reply: oneshot::Sender<ClaimAnswer> },
    RecordEnding(RecordEndingRequest),
    CallFinished(StoreResult),
}

impl ClaimBuckets {
    /// Claims a key at its bucket's home, or here if that cannot be reached.
    ///
    /// Returns the answer and the token that it is for. A token is used at one node only: the
    /// second try here takes a new one, and the first, which may have been granted to nobody,
    /// is given back.
    pub async fn claim(
        &self,
        shared: &Arc<Shared>,
        key: &EcoString,
        fingerprint: u64,
    ) -> (ClaimAnswer, EcoString) {
        let request = |token| ClaimRequest { key: key.clone(), token, fingerprint };
        if let Some(address) = remote_home_address(shared, key) {
            let token = new_unique_id(shared);
            match shared.peer_client.claim(&address, &request(token.clone())).await {
                Ok(answer) => return (answer, token),
                Err(PeerError::Unreachable) => {}
                Err(PeerError::ConnectionLost | PeerError::TimedOut | PeerError::Refused) => {
                    let (key, ending) = (key.clone(), Ending::NotRun);
                    self.record_ending_locally(shared, RecordEndingRequest { key, token, ending });
                }
            }
        }
        let token = new_unique_id(shared);
        (self.claim_locally(shared, request(token.clone())).await, token)
    }

    /// Records what became of a request, at its bucket's home or else here.
    pub async fn record_ending(&self, shared: &Arc<Shared>, request: RecordEndingRequest) {
        if let Some(address) = remote_home_address(shared, &request.key)
            && shared.peer_client.record_ending(&address, &request).await.is_ok()
        {
            return;
        }
        self.record_ending_locally(shared, request);
    }

    /// Claims a key in this node's own bucket.
    pub async fn claim_locally(&self, shared: &Arc<Shared>, request: ClaimRequest) -> ClaimAnswer {
        let (reply, answer) = oneshot::channel();
        let bucket = self.bucket_sender(shared, claim_bucket_of(&request.key));
        let _ = bucket.send(BucketInput::Claim { request, reply });
        answer.await.unwrap_or(ClaimAnswer::Unavailable)
    }

    /// Records what became of a request in this node's own bucket.
    pub fn record_ending_locally(&self, shared: &Arc<Shared>, request: RecordEndingRequest) {
        let bucket = self.bucket_sender(shared, claim_bucket_of(&request.key));
        let _ = bucket.send(BucketInput::RecordEnding(request));
    }

    /// A bucket's task, started now if it does not run.
    fn bucket_sender(
        &self,
        shared: &Arc<Shared>,
        bucket: u32,
    ) -> mpsc::UnboundedSender<BucketInput> {
        let mut running = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        running.entry(bucket).or_insert_with(|| start_bucket_task(shared, bucket)).clone()
    }
}

/// The peer address of a key's home, unless that is this node.
fn remote_home_address(shared: &Shared, key: &str) -> Option<EcoString> {
    let view = shared.view.load();
    let home =
        view.claim_bucket_home(claim_bucket_of(key)).filter(|home| **home != view.local_node)?;
    view.members.get(home).map(|member| member.peer_address.clone())
}

/// A token that no other claim has.
fn new_unique_id(shared: &Shared) -> EcoString {
    eco_format!("{}-{:016x}", shared.instance_id, rand::random::<u64>())
}

/// Starts a bucket's task; it ends with its node.
fn start_bucket_task(shared: &Arc<Shared>, bucket: u32) -> mpsc::UnboundedSender<BucketInput> {
    let (sender, inputs) = mpsc::unbounded_channel();
    let policy = shared.tuning.claims;
    let task = BucketTask {
        shared: shared.clone(),
        bucket: ClaimBucket::new(bucket, new_unique_id(shared), policy, unix_time_ms()),
        sender: sender.clone(),
        replies: IndexMap::new(),
        last_claim_id: 0,
    };
    tokio::spawn(task.run(inputs));
    sender
}

/// The task around one bucket.
struct BucketTask {
    shared: Arc<Shared>,
    bucket: ClaimBucket,
    sender: mpsc::UnboundedSender<BucketInput>,
    replies: IndexMap<ClaimId, oneshot::Sender<ClaimAnswer>>,
    last_claim_id: u64,
}

impl BucketTask {
    async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<BucketInput>) {
        loop {
            let wake_us = self.bucket.next_timer_us().unwrap_or(u64::MAX >> 20);
            tokio::select! {
                input = inputs.recv() => match input {
                    None => return,
                    Some(input) => self.handle_input(input),
                },
                () = tokio::time::sleep_until(self.shared.clock.instant_at(wake_us)) => {
                    self.step(ClaimEvent::Timer);
                }
            }
        }
    }

    fn handle_input(&mut self, input: BucketInput) {
        match input {
            BucketInput::Claim { request, reply } => {
                self.last_claim_id += 1;
                let ticket = ClaimId(self.last_claim_id);
                self.replies.insert(ticket, reply);
                self.step(ClaimEvent::Claim { claim_id: ticket, request });
            }
            BucketInput::RecordEnding(request) => self.step(ClaimEvent::RecordEnding(request)),
            BucketInput::CallFinished(result) => self.step(ClaimEvent::CallFinished(result)),
        }
    }

    fn step(&mut self, event: ClaimEvent) {
        for effect in self.bucket.step(self.shared.clock.now_us(), unix_time_ms(), event) {
            match effect {
                ClaimEffect::Call(call) => {
                    let (sender, platform) = (self.sender.clone(), self.shared.platform.clone());
                    tokio::spawn(async move {
                        let _ = sender.send(BucketInput::CallFinished(
                            execute_store_call(&platform, call).await,
                        ));
                    });
                }
                ClaimEffect::Answer { claim_id: ticket, answer } => {
                    if let Some(reply) = self.replies.swap_remove(&ticket) {
                        let _ = reply.send(answer);
                    }
                }
                ClaimEffect::Purge { prefix } => {
                    let platform = self.shared.platform.clone();
                    tokio::spawn(async move { delete_by_prefix(&platform, &prefix).await });
                }
            }
        }
    }
}

/// Makes one call of the store.
async fn execute_store_call(platform: &PlatformClient, call: StoreCall) -> StoreResult {
    match call {
        StoreCall::List { prefix } => match platform.list(&prefix).await {
            Ok(items) => {
                StoreResult::Listed(items.items.into_iter().filter_map(|item| item.value).collect())
            }
            Err(_) => StoreResult::Failed,
        },
        StoreCall::Read { key } => match platform.read(&key).await {
            Ok(Some(value)) => StoreResult::Found(value.value),
            Ok(None) => StoreResult::Absent,
            Err(_) => StoreResult::Failed,
        },
        StoreCall::Write { key, value: text } => match platform.write(&key, &text, 0).await {
            Ok(_) => StoreResult::Written,
            Err(PlatformError::Conflict { .. }) => StoreResult::Conflict,
            Err(_) => StoreResult::Failed,
        },
    }
}

/// Removes an old epoch's segments, one call at a time.
async fn delete_by_prefix(platform: &PlatformClient, prefix: &str) {
    let Ok(items) = platform.list(prefix).await else { return };
    for item in items.items {
        if platform.delete(&item.key).await.is_err() {
            return;
        }
    }
}
