//! Logs changes of the registry and of the members.

use sassafrasproxy_core::{DiscoveryLogEvent, MemberLogEvent, fingerprint_text};
use sassafrasproxy_wire::MemberState;

/// The maximum number of similar changes in one batch that are logged one by one.
///
/// A larger batch gets a single line with counts.
const MAX_LOG_LINES: usize = 8;

/// Logs the discovery events of one batch of changes.
///
/// A node that starts, recovers from a store outage or gets another set of shards sees hundreds of
/// replicas change at once: more than [`MAX_LOG_LINES`] updated or removed replicas get one line
/// with their number.
pub fn log_discovery_events(log_events: &[DiscoveryLogEvent], store_revision: u64) {
    let is_updated = |log_event: &&DiscoveryLogEvent| {
        matches!(log_event, DiscoveryLogEvent::ReplicaUpdated { .. })
    };
    let is_removed = |log_event: &&DiscoveryLogEvent| {
        matches!(log_event, DiscoveryLogEvent::ReplicaEntryRemoved { .. })
    };
    let updated = log_events.iter().filter(is_updated).count();
    let removed = log_events.iter().filter(is_removed).count();
    if updated > MAX_LOG_LINES {
        log::info!(count = updated, store_revision; "replicas are listed");
    }
    if removed > MAX_LOG_LINES {
        log::info!(count = removed, store_revision; "replicas are no longer listed");
    }
    for log_event in log_events {
        let count = match log_event {
            DiscoveryLogEvent::ReplicaUpdated { .. } => updated,
            DiscoveryLogEvent::ReplicaEntryRemoved { .. } => removed,
            DiscoveryLogEvent::ConfigurationActivated { .. }
            | DiscoveryLogEvent::OlderConfigurationIgnored { .. }
            | DiscoveryLogEvent::StaleEntryIgnored { .. }
            | DiscoveryLogEvent::DomainChanged { .. }
            | DiscoveryLogEvent::RolloutOrderChanged { .. }
            | DiscoveryLogEvent::RolloutAdvanced { .. }
            | DiscoveryLogEvent::RolloutStopped { .. }
            | DiscoveryLogEvent::QuarantineRecorded { .. }
            | DiscoveryLogEvent::QuarantineRemoved { .. } => 0,
        };
        if count <= MAX_LOG_LINES {
            log_discovery_event(log_event, store_revision);
        }
    }
}

/// Logs changed members one by one, or their number per state if there are more than
/// [`MAX_LOG_LINES`].
pub fn log_members(log_events: &[MemberLogEvent], members: usize) {
    if log_events.len() <= MAX_LOG_LINES {
        for log_event in log_events {
            log::info!(
                member:% = log_event.node, state:? = log_event.state, members;
                "a member changed"
            );
        }
        return;
    }
    let count = |state| log_events.iter().filter(|log_event| log_event.state == state).count();
    log::info!(
        alive = count(MemberState::Alive),
        suspect = count(MemberState::Suspect),
        leaving = count(MemberState::Leaving),
        dead = count(MemberState::Dead),
        members;
        "members changed"
    );
}

fn log_discovery_event(log_event: &DiscoveryLogEvent, store_revision: u64) {
    match log_event {
        DiscoveryLogEvent::ConfigurationActivated { version } => {
            log::info!(version, store_revision; "a configuration is in force");
        }
        DiscoveryLogEvent::OlderConfigurationIgnored { version, active_version } => {
            log::warn!(
                version, in_force = active_version, store_revision;
                "ignored a configuration older than the active one"
            );
        }
        DiscoveryLogEvent::ReplicaUpdated { id, is_draining } => {
            log::info!(replica:% = id, is_draining, store_revision; "a replica is listed");
        }
        DiscoveryLogEvent::ReplicaEntryRemoved { id, is_held } => {
            log::info!(replica:% = id, is_held, store_revision; "a replica is no longer listed");
        }
        DiscoveryLogEvent::StaleEntryIgnored { id } => {
            log::info!(
                replica:% = id, store_revision;
                "ignored a replica entry older than the current one"
            );
        }
        DiscoveryLogEvent::DomainChanged { domain, is_out } => {
            log::info!(
                domain:%, is_out, store_revision;
                "a failure domain was taken out of service or brought back"
            );
        }
        DiscoveryLogEvent::RolloutOrderChanged { service, target_version } => {
            let target_version = target_version.as_deref().unwrap_or("");
            log::info!(service:%, target_version, store_revision; "a rollout order changed");
        }
        DiscoveryLogEvent::RolloutAdvanced { service, target_version, phase } => {
            log::info!(
                service:%, target_version:%, phase:?, store_revision;
                "a rollout record has a new phase"
            );
        }
        DiscoveryLogEvent::RolloutStopped { order_revision } => {
            log::warn!(order_revision, store_revision; "a rollout was stopped");
        }
        DiscoveryLogEvent::QuarantineRecorded { fingerprint, is_quarantined, trials } => {
            let fingerprint = fingerprint_text(*fingerprint);
            log::info!(
                fingerprint:%, is_quarantined, trials, store_revision;
                "the store has a quarantine record"
            );
        }
        DiscoveryLogEvent::QuarantineRemoved { fingerprint } => {
            let fingerprint = fingerprint_text(*fingerprint);
            log::info!(fingerprint:%, store_revision; "a quarantine record was removed");
        }
    }
}
