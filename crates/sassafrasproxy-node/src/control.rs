//! The control thread: runs the control reducer and its timer, and performs the I/O that its
//! effects request.

use std::sync::Arc;
use std::time::Duration;

use ecow::EcoString;
use indexmap::IndexMap;
use sassafrasproxy_config::{HEAD_KEY, assemble_configuration, parse_head};
use sassafrasproxy_core::{ControlEffect, ControlEvent, ControlPlane, Member};
use sassafrasproxy_wire::{
    ConfigurationHead, ConfigurationRequest, Heartbeat, IndirectProbeRequest, MemberStatus,
    NodeHoldings, PeerConfiguration,
};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

use crate::PlatformClient;
use crate::publish::read_configuration;
use crate::shared::Shared;

/// The time for which a watch of the store waits for a change.
///
/// The store may never answer a watch that it took in an outage. So the wait, the timeout of the call
/// and the backoff together are shorter than the time in which a configuration must be in force.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// The backoff after the first failed call to the store; it doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(200);

/// The maximum backoff after a failed call to the store.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// An input of the control thread.
#[derive(Debug)]
pub enum ControlInput {
    /// An event for the reducer.
    Event(ControlEvent),
    /// A peer's probe, which is answered with a heartbeat.
    ProbeReceived { heartbeat: Heartbeat, reply: oneshot::Sender<Heartbeat> },
    /// A configuration was read from the store or from a peer.
    ConfigurationFetched { head: ConfigurationHead, chunks: IndexMap<EcoString, EcoString> },
    /// A peer requests the configuration.
    ConfigurationRequested {
        request: ConfigurationRequest,
        reply: oneshot::Sender<PeerConfiguration>,
    },
    /// A peer requests this node's holdings.
    HoldingsRequested { reply: oneshot::Sender<NodeHoldings> },
    /// An operator requests the node's status.
    StatusRequested { reply: oneshot::Sender<ControlStatus> },
    /// The node stops.
    Stop,
}

/// The part of the node's status that the control thread reports.
#[derive(Debug)]
pub struct ControlStatus {
    /// All members, including the dead ones.
    pub members: Vec<MemberStatus>,
    /// Why a newer configuration revision was rejected, if one was.
    pub rejected_revision: Option<EcoString>,
}

/// The control thread's state.
pub struct ControlThread {
    control_plane: ControlPlane,
    shared: Arc<Shared>,
    platform: PlatformClient,
    /// The runtime that performs the I/O, outside this thread.
    io_runtime: Handle,
    watch_enabled: watch::Sender<bool>,
    head: Option<ConfigurationHead>,
    /// The texts of the chunks that the head names, by chunk name.
    chunks: IndexMap<EcoString, EcoString>,
}

impl ControlThread {
    /// Starts the control thread, which runs until it receives [`ControlInput::Stop`].
    pub fn start(
        control_plane: ControlPlane,
        shared: Arc<Shared>,
        platform: PlatformClient,
        inputs: mpsc::UnboundedReceiver<ControlInput>,
    ) -> std::io::Result<std::thread::JoinHandle<()>> {
        let io_runtime = Handle::current();
        let (watch_enabled, watch_enabled_receiver) = watch::channel(false);
        io_runtime.spawn(watch_store(shared.clone(), platform.clone(), watch_enabled_receiver));
        let thread = Self {
            control_plane,
            shared,
            platform,
            io_runtime,
            watch_enabled,
            head: None,
            chunks: IndexMap::new(),
        };
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build()?;
        std::thread::Builder::new()
            .name("control".into())
            .spawn(move || runtime.block_on(thread.run(inputs)))
    }

    /// Handles inputs and timer ticks until the node stops.
    async fn run(mut self, mut inputs: mpsc::UnboundedReceiver<ControlInput>) {
        let heartbeat_interval =
            Duration::from_micros(self.shared.tuning.control.heartbeat_interval_us);
        let mut tick = tokio::time::interval(heartbeat_interval);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                input = inputs.recv() => match input {
                    None | Some(ControlInput::Stop) => return,
                    Some(input) => self.handle_input(input),
                },
                _ = tick.tick() => self.step(ControlEvent::Tick),
            }
        }
    }

    fn handle_input(&mut self, input: ControlInput) {
        match input {
            ControlInput::Event(event) => {
                if let ControlEvent::HeartbeatReceived(heartbeat) = &event {
                    self.shared.events.merge_hlc(heartbeat.hlc);
                }
                self.step(event);
            }
            ControlInput::ProbeReceived { heartbeat, reply } => {
                self.shared.events.merge_hlc(heartbeat.hlc);
                let hlc = self.shared.events.next_hlc();
                let answer = self.control_plane.heartbeat(hlc, Some(&heartbeat));
                let _ = reply.send(answer);
                self.step(ControlEvent::HeartbeatReceived(heartbeat));
            }
            ControlInput::ConfigurationFetched { head, chunks } => {
                self.apply_configuration(head, chunks);
            }
            ControlInput::ConfigurationRequested { request, reply } => {
                let _ = reply.send(self.peer_configuration(&request));
            }
            ControlInput::HoldingsRequested { reply } => {
                let _ = reply.send(self.control_plane.local_holdings());
            }
            ControlInput::StatusRequested { reply } => {
                let _ = reply.send(self.status());
            }
            ControlInput::Stop => {}
        }
    }

    /// Assembles a configuration and passes it to the reducer; a permanent error is passed as a
    /// rejection of the revision, any other error is only logged.
    fn apply_configuration(
        &mut self,
        head: ConfigurationHead,
        chunks: IndexMap<EcoString, EcoString>,
    ) {
        if head.revision <= self.control_plane.revision() {
            return;
        }
        let old_chunks = std::mem::take(&mut self.chunks);
        self.chunks = old_chunks.into_iter().chain(chunks).collect();
        match assemble_configuration(&head, &self.chunks) {
            Ok(configuration) => {
                self.chunks.retain(|name, _| head.chunks.contains(name));
                self.head = Some(head);
                self.step(ControlEvent::ConfigurationReceived(configuration));
            }
            Err(error) if error.is_permanent() => {
                let (revision, detail) = (head.revision, ecow::eco_format!("{error}"));
                log::error!("{detail}");
                self.step(ControlEvent::ConfigurationRejected { revision, detail });
            }
            Err(error) => log::warn!("{error}"),
        }
    }

    /// Returns the active configuration without the chunks that the requester already has.
    fn peer_configuration(&self, request: &ConfigurationRequest) -> PeerConfiguration {
        let wanted = self.chunks.iter().filter(|(name, _)| !request.have.contains(name));
        let chunks = wanted.map(|(name, text)| (name.clone(), text.clone())).collect();
        PeerConfiguration { head: self.head.clone(), chunks }
    }

    fn status(&self) -> ControlStatus {
        let local_node = &self.shared.settings.name;
        let revision_of = |member: &Member| match member.node == *local_node {
            true => self.control_plane.revision(),
            false => member.revision,
        };
        let members = self.control_plane.members().present().map(|member| MemberStatus {
            node: member.node.clone(),
            address: member.address.clone(),
            failure_domain: member.failure_domain.clone(),
            state: ecow::eco_format!("{:?}", member.state).to_lowercase(),
            revision: revision_of(member),
        });
        let rejected = self.control_plane.rejected_revision().map(|(_, detail)| detail.clone());
        ControlStatus { members: members.collect(), rejected_revision: rejected }
    }

    fn step(&mut self, event: ControlEvent) {
        let effects = self.control_plane.step(self.shared.clock.now_us(), event);
        let is_changed = effects.contains(&ControlEffect::PublishView);
        if is_changed {
            let view = Arc::new(self.control_plane.view());
            self.shared.view.store(view.clone());
            let _guard = self.io_runtime.enter();
            self.shared.schedulers.apply_view(&self.shared, &view);
        }
        for effect in effects {
            self.perform_effect(effect);
        }
    }

    fn perform_effect(&mut self, effect: ControlEffect) {
        match effect {
            ControlEffect::Probe { peer_address } => self.probe(peer_address),
            ControlEffect::ProbeIndirectly { via_peer_addresses, peer_address } => {
                self.probe_indirectly(via_peer_addresses, peer_address);
            }
            ControlEffect::PullConfiguration { peer_address } => {
                self.pull_configuration(peer_address);
            }
            ControlEffect::PullHoldings { peer_address } => self.spawn_io(async move |shared| {
                if let Ok(holdings) = shared.peer_client.fetch_holdings(&peer_address).await {
                    shared.send_control_event(ControlEvent::HoldingsReceived(holdings));
                }
            }),
            ControlEffect::PushHoldings { peer_addresses, holdings } => {
                self.push_holdings(peer_addresses, holdings);
            }
            ControlEffect::WatchStore { is_on } => {
                self.watch_enabled.send_replace(is_on);
            }
            ControlEffect::ReadStore => {
                let (platform, have) = (self.platform.clone(), self.chunks.clone());
                self.spawn_io(async move |shared| {
                    if let Ok(Some((head, chunks))) = read_configuration(&platform, &have).await {
                        let _ = shared
                            .control_sender
                            .send(ControlInput::ConfigurationFetched { head, chunks });
                    }
                });
            }
            ControlEffect::ReadVmList => {
                let platform = self.platform.clone();
                self.spawn_io(async move |shared| {
                    if let Ok(vms) = platform.list_vms().await {
                        shared.send_control_event(ControlEvent::VmListReceived(vms));
                    }
                });
            }
            ControlEffect::PublishView => {}
            ControlEffect::RecordEvent(kind) => self.shared.events.record(None, kind),
        }
    }

    /// Sends a heartbeat to a peer and reports the answer or the failure to the reducer.
    fn probe(&mut self, peer_address: EcoString) {
        let heartbeat = self.control_plane.heartbeat(self.shared.events.next_hlc(), None);
        self.spawn_io(async move |shared| {
            let sent_us = shared.clock.now_us();
            let event = match shared.peer_client.probe(&peer_address, &heartbeat).await {
                Ok(answer) => ControlEvent::HeartbeatReceived(answer),
                Err(_) => ControlEvent::ProbeFailed { peer_address, sent_us, is_indirect: false },
            };
            shared.send_control_event(event);
        });
    }

    /// Asks several members to probe a peer; one answer through any of them is enough.
    fn probe_indirectly(&mut self, via_peer_addresses: Vec<EcoString>, peer_address: EcoString) {
        let heartbeat = self.control_plane.heartbeat(self.shared.events.next_hlc(), None);
        let request = IndirectProbeRequest { peer_address: peer_address.clone(), heartbeat };
        self.spawn_io(async move |shared| {
            let sent_us = shared.clock.now_us();
            let probes =
                via_peer_addresses.iter().map(|via| shared.peer_client.probe_for(via, &request));
            let answers = futures_util::future::join_all(probes).await;
            let event = match answers.into_iter().flatten().flatten().next() {
                Some(answer) => ControlEvent::HeartbeatReceived(answer),
                None => ControlEvent::ProbeFailed { peer_address, sent_us, is_indirect: true },
            };
            shared.send_control_event(event);
        });
    }

    fn pull_configuration(&self, peer_address: EcoString) {
        let request = ConfigurationRequest { have: self.chunks.keys().cloned().collect() };
        self.spawn_io(async move |shared| {
            let Ok(answer) = shared.peer_client.fetch_configuration(&peer_address, &request).await
            else {
                return;
            };
            if let Some(head) = answer.head {
                let _ = shared
                    .control_sender
                    .send(ControlInput::ConfigurationFetched { head, chunks: answer.chunks });
            }
        });
    }

    fn push_holdings(&self, peer_addresses: Vec<EcoString>, holdings: NodeHoldings) {
        let holdings = Arc::new(holdings);
        for peer_address in peer_addresses {
            let holdings = holdings.clone();
            self.spawn_io(async move |shared| {
                // If a push is lost, the next heartbeat causes the peer to pull the holdings.
                let _ = shared.peer_client.push_holdings(&peer_address, &holdings).await;
            });
        }
    }

    /// Spawns I/O on the runtime that also serves queries.
    fn spawn_io<F>(&self, io: impl FnOnce(Arc<Shared>) -> F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        self.io_runtime.spawn(io(self.shared.clone()));
    }
}

/// Watches the store for configurations while this node is a watcher of its failure domain.
async fn watch_store(
    shared: Arc<Shared>,
    platform: PlatformClient,
    mut watch_enabled: watch::Receiver<bool>,
) {
    let mut after = 0;
    let mut backoff = MIN_BACKOFF;
    let mut have = IndexMap::new();
    loop {
        if watch_enabled.wait_for(|is_on| *is_on).await.is_err() {
            return;
        }
        match watch_once(&shared, &platform, after, &mut have).await {
            Some(revision) => {
                after = revision;
                backoff = MIN_BACKOFF;
            }
            None => {
                let jitter = rand::random_range(0.5..1.0);
                tokio::time::sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Waits for a change of the configuration, for at most [`WATCH_WAIT`], and reads it.
///
/// Returns the store revision from which the next watch continues, or `None` if a call failed or
/// the read after the change found no valid head.
///
/// A watch from revision 0 returns the current value at once, so a watcher misses no change when
/// it starts or recovers from an outage.
async fn watch_once(
    shared: &Shared,
    platform: &PlatformClient,
    after: u64,
    have: &mut IndexMap<EcoString, EcoString>,
) -> Option<u64> {
    let changes = platform.watch(HEAD_KEY, after, WATCH_WAIT).await.ok()?;
    let head = changes.changes.iter().rev().find_map(|change| change.value.as_ref());
    let Some(head) = head else { return Some(changes.revision) };
    if let Err(error) = parse_head(head) {
        log::error!("{error}");
        return Some(changes.revision);
    }
    let (head, chunks) = read_configuration(platform, have).await.ok()??;
    have.clone_from(&chunks);
    let _ = shared.control_sender.send(ControlInput::ConfigurationFetched { head, chunks });
    Some(changes.revision)
}
