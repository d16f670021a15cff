//! What the parts of one node share.

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

/// What the parts of one node share; the control thread alone changes `view`.
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
    /// Tells this life of the node from an earlier one in the ids that it makes.
    pub instance_id: EcoString,
}

impl Shared {
    /// Gives the control thread an event; a node that is ending takes none.
    pub fn send_control_event(&self, event: ControlEvent) {
        let _ = self.control_sender.send(ControlInput::Event(event));
    }

    /// The peer address of a member.
    pub fn peer_address(&self, node: &str) -> Option<EcoString> {
        let view: Arc<View> = self.view.load_full();
        view.members.get(node).map(|member| member.peer_address.clone())
    }
}
