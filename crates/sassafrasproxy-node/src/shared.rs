//! The state that the tasks and threads of one node share.

use std::sync::Arc;

use arc_swap::ArcSwap;
use ecow::EcoString;
use sassafrasproxy_clock::Clock;
use sassafrasproxy_config::NodeSettings;
use sassafrasproxy_core::{ControlEvent, View};
use tokio::sync::mpsc;

use crate::PlatformClient;
use crate::claim_buckets::ClaimBuckets;
use crate::control::ControlInput;
use crate::events::EventLog;
use crate::metrics::Metrics;
use crate::node::Tuning;
use crate::peer_client::PeerClient;
use crate::schedulers::Schedulers;

/// The state that the tasks and threads of one node share. Only the control thread changes `view`.
pub struct Shared {
    pub settings: NodeSettings,
    pub tuning: Tuning,
    pub clock: Clock,
    pub view: ArcSwap<View>,
    pub events: EventLog,
    pub metrics: Metrics,
    pub peer_client: PeerClient,
    pub schedulers: Schedulers,
    pub claim_buckets: ClaimBuckets,
    pub platform: PlatformClient,
    pub control_sender: mpsc::UnboundedSender<ControlInput>,
    /// Part of the ids that the node creates; distinguishes this run of the node from earlier ones.
    pub instance_id: EcoString,
}

impl Shared {
    /// Sends an event to the control thread; it is dropped if the thread has stopped.
    pub fn send_control_event(&self, event: ControlEvent) {
        let _ = self.control_sender.send(ControlInput::Event(event));
    }

    /// Returns the peer address of a member, or `None` if it is unknown.
    pub fn peer_address(&self, node: &str) -> Option<EcoString> {
        let view: Arc<View> = self.view.load_full();
        view.members.get(node).map(|member| member.peer_address.clone())
    }
}
