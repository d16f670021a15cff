//! Sends and receives the gossip datagrams between nodes.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ecow::eco_format;
use sassafrasproxy_core::{
    DiscoveryEvent, GossipPolicy, MAX_DATAGRAM_BYTES, OutgoingDatagram, PeerDatagram, TrialReport,
};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};
use tokio::time::{MissedTickBehavior, interval};

use crate::control::ControlState;
use crate::quarantine::{CrashNotice, PeerCrashNotice};
use crate::rollouts;

/// The channels for notices of requests that may crash replicas.
pub struct CrashChannels {
    /// Notices from the traffic thread.
    pub local: mpsc::UnboundedReceiver<CrashNotice>,
    /// Passes notices from peers to the traffic thread.
    pub from_peers: mpsc::UnboundedSender<PeerCrashNotice>,
}

/// The channels for the trial reports and stopped rollouts that are sent to peers.
pub struct TrialChannels {
    /// Trial reports from the traffic thread.
    pub local_reports: mpsc::UnboundedReceiver<Vec<TrialReport>>,
    /// The store revisions of the orders of rollouts that this node stops.
    pub stopped_orders: mpsc::UnboundedReceiver<u64>,
}

/// Exchanges gossip datagrams with peers for as long as the process runs.
pub async fn run(
    state: Rc<ControlState>,
    socket: UdpSocket,
    mut leaving: watch::Receiver<bool>,
    mut crashes: CrashChannels,
    mut trials: TrialChannels,
) {
    let mut ticks = interval(Duration::from_micros(GossipPolicy::default().tick_interval_us));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    // One extra byte, so that a datagram over the limit is not cut to a valid length; its decoding
    // fails.
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let now_us = state.clock.now_us();
        let sends = tokio::select! {
            _ = ticks.tick() => {
                let mut gossip = state.gossip.borrow_mut();
                ticks.reset_after(Duration::from_micros(gossip.tick_delay_us(now_us)));
                gossip.record_sends(now_us, state.total_sends());
                gossip.tick(now_us)
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => handle_datagram(&state, &buffer[..length], from, &crashes.from_peers),
                // No process received an earlier datagram; the missing heartbeats show that the
                // member is down.
                Err(error) => {
                    log::debug!(error:%; "receiving a datagram failed");
                    Vec::new()
                }
            },
            Some(notice) = crashes.local.recv() => {
                let mut gossip = state.gossip.borrow_mut();
                match notice {
                    CrashNotice::Crashed(report) => gossip.report_crash(now_us, report),
                    CrashNotice::Answered(fingerprint) => {
                        gossip.announce_answer(now_us, fingerprint)
                    }
                }
            }
            Some(reports) = trials.local_reports.recv() => rollouts::report_local_trials(&state, reports),
            Some(order_revision) = trials.stopped_orders.recv() => {
                state.gossip.borrow_mut().announce_rollout_stop(now_us, order_revision)
            }
            Ok(()) = leaving.changed() => state.gossip.borrow_mut().leave(now_us),
        };
        for send in sends {
            send_datagram(&state, &socket, &send).await;
        }
        state.publish_members();
    }
}

/// Applies a received datagram and returns the datagrams to send.
fn handle_datagram(
    state: &ControlState,
    bytes: &[u8],
    from: SocketAddr,
    crashes: &mpsc::UnboundedSender<PeerCrashNotice>,
) -> Vec<OutgoingDatagram> {
    let datagram = match PeerDatagram::decode(bytes) {
        Ok(datagram) => datagram,
        Err(error) => {
            log::warn!(from:%, error:%; "ignored a datagram that cannot be decoded");
            return Vec::new();
        }
    };
    let reports = datagram.crash_reports.iter().map(|report| CrashNotice::Crashed(*report));
    let answers = datagram.answered_requests.iter();
    let answers = answers.map(|answer| CrashNotice::Answered(answer.fingerprint));
    for notice in reports.chain(answers) {
        let peer = datagram.sender.node.clone();
        // Fails only if the traffic thread has ended; the process is exiting then.
        let _ = crashes.send(PeerCrashNotice { peer, notice });
    }
    rollouts::record_peer_trials(state, &datagram.sender.node, &datagram.trial_reports);
    for &order_revision in &datagram.stopped_rollouts {
        state.apply_events([DiscoveryEvent::RolloutStopped { order_revision }]);
    }
    let now_us = state.clock.now_us();
    state.gossip.borrow_mut().receive(now_us, &eco_format!("{from}"), &datagram)
}

/// Sends a datagram; a failure is logged only, as gossip tolerates lost datagrams.
async fn send_datagram(state: &ControlState, socket: &UdpSocket, send: &OutgoingDatagram) {
    let bytes = match send.datagram.encode() {
        Ok(bytes) => bytes,
        Err(error) => return log::error!(error:%; "cannot encode a datagram"),
    };
    let address: SocketAddr = match send.peer_address.parse() {
        Ok(address) => address,
        Err(error) => {
            return log::warn!(
                peer:% = send.peer_address, error:%;
                "cannot parse a peer's address; the datagram is not sent"
            );
        }
    };
    state.count_datagram(send.datagram.kind, bytes.len());
    if let Err(error) = socket.send_to(&bytes, address).await {
        log::debug!(peer:% = send.peer_address, error:%; "sending a datagram failed");
    }
}
