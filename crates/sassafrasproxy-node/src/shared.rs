//! What the parts of one node share.

use std::sync::Arc;

use arc_swap::ArcSwap;
use ecow::EcoString;
use sassafrasproxy_clock::Clock;
use sassafrasproxy_config::Settings;
use sassafrasproxy_core::{ControlEvent, View};
use tokio::sync::mpsc;

use crate::PlatformClient;
use crate::claims::Claims;
use crate::control::ControlInput;
use crate::events::EventLog;
use crate::lanes::Lanes;
use crate::metrics::Metrics;
use crate::node::Tuning;
use crate::peers::Peers;

/// What the parts of one node share; the control thread alone changes `view`.
pub struct Shared {
    pub settings: Settings,
    pub tuning: Tuning,
    pub clock: Clock,
    pub view: ArcSwap<View>,
    pub events: EventLog,
    pub metrics: Metrics,
    pub peers: Peers,
    pub lanes: Lanes,
    pub claims: Claims,
    pub platform: PlatformClient,
    pub control: mpsc::UnboundedSender<ControlInput>,
    /// Tells this life of the node from an earlier one in the ids that it makes.
    pub life: EcoString,
}

impl Shared {
    /// Gives the control thread an event; a node that is ending takes none.
    pub fn tell(&self, event: ControlEvent) {
        let _ = self.control.send(ControlInput::Event(event));
    }

    /// The peer address of a member.
    pub fn peer_address(&self, node: &str) -> Option<EcoString> {
        let view: Arc<View> = self.view.load_full();
        view.members.get(node).map(|member| member.peer_address.clone())
    }
}
