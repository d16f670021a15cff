//! Runs the claim buckets of a node, one task per bucket that it serves.

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

/// The tasks of the running buckets, by bucket number.
#[derive(Debug, Default)]
pub struct ClaimBuckets {
    senders: Mutex<IndexMap<u32, mpsc::UnboundedSender<BucketInput>>>,
}

/// An input of a bucket's task.
#[derive(Debug)]
enum BucketInput {
    Claim { request: ClaimRequest, reply: oneshot::Sender<ClaimAnswer> },
    RecordEnding(RecordEndingRequest),
    CallFinished(StoreResult),
}

impl ClaimBuckets {
    /// Claims a key at its bucket's home, or in this node's own bucket if the call fails.
    ///
    /// Returns the answer and the token of the claim. A token is used at one node only, so the
    /// local claim uses a new one. If the home may have granted the first token although its
    /// answer did not arrive, that token is released.
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

    /// Records the ending of a request at its bucket's home, or in this node's own bucket if the
    /// call to the home fails.
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

    /// Records the ending of a request in this node's own bucket.
    pub fn record_ending_locally(&self, shared: &Arc<Shared>, request: RecordEndingRequest) {
        let bucket = self.bucket_sender(shared, claim_bucket_of(&request.key));
        let _ = bucket.send(BucketInput::RecordEnding(request));
    }

    /// Returns the sender to a bucket's task; starts the task if it is not running.
    fn bucket_sender(
        &self,
        shared: &Arc<Shared>,
        bucket: u32,
    ) -> mpsc::UnboundedSender<BucketInput> {
        let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        senders.entry(bucket).or_insert_with(|| start_bucket_task(shared, bucket)).clone()
    }
}

/// Returns the peer address of the home of a key's bucket, or `None` if this node is the home.
fn remote_home_address(shared: &Shared, key: &str) -> Option<EcoString> {
    let view = shared.view.load();
    let home =
        view.claim_bucket_home(claim_bucket_of(key)).filter(|home| **home != view.local_node)?;
    view.members.get(home).map(|member| member.peer_address.clone())
}

/// Returns a new id that is unique over all nodes, for a claim's token or a bucket's instance.
fn new_unique_id(shared: &Shared) -> EcoString {
    eco_format!("{}-{:016x}", shared.instance_id, rand::random::<u64>())
}

/// Starts a bucket's task, which runs until the node stops.
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

/// The task that runs one bucket: it passes inputs to the reducer and performs its effects.
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
                let claim_id = ClaimId(self.last_claim_id);
                self.replies.insert(claim_id, reply);
                self.step(ClaimEvent::Claim { claim_id, request });
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
                ClaimEffect::Answer { claim_id, answer } => {
                    if let Some(reply) = self.replies.swap_remove(&claim_id) {
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

/// Executes one store call.
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
        StoreCall::Write { key, value } => match platform.write(&key, &value, 0).await {
            Ok(_) => StoreResult::Written,
            Err(PlatformError::Conflict { .. }) => StoreResult::Conflict,
            Err(_) => StoreResult::Failed,
        },
    }
}

/// Deletes all keys with a prefix, one call at a time; stops at the first failure.
async fn delete_by_prefix(platform: &PlatformClient, prefix: &str) {
    let Ok(items) = platform.list(prefix).await else { return };
    for item in items.items {
        if platform.delete(&item.key).await.is_err() {
            return;
        }
    }
}
