//! Which version of a service may get requests.

use ecow::EcoString;

use super::order::{RolloutPhase, RolloutRecord};

/// The versions of one service that may get requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceVersions {
    /// The version that all requests may use; `None` while no replica may be used.
    pub in_use: Option<EcoString>,
    /// The version that is on trial, if any.
    pub on_trial: Option<EcoString>,
}

/// Which versions of a service may get requests.
///
/// `listed` gives version and start of each replica of the service. A version that no order named
/// is not used beside others: before the first order, the service is at the version of the replica
/// that started first. `is_stopped` says that the roll-out was stopped before the record says so.
pub fn service_versions<'a>(
    record: Option<&RolloutRecord>,
    is_stopped: bool,
    listed: impl Iterator<Item = (&'a EcoString, u64)> + Clone,
) -> ServiceVersions {
    let oldest = || listed.clone().min_by_key(|(_, born_ms)| *born_ms);
    let Some(record) = record else {
        let in_use = oldest().map(|(version, _)| version.clone());
        return ServiceVersions { in_use, on_trial: None };
    };
    let is_there = |version: &EcoString| listed.clone().any(|(listed, _)| listed == version);
    let only =
        |version: &EcoString| ServiceVersions { in_use: Some(version.clone()), on_trial: None };
    match record.phase {
        RolloutPhase::Trial if !is_stopped => ServiceVersions {
            in_use: Some(record.base_version.clone()),
            on_trial: Some(record.target_version.clone()),
        },
        RolloutPhase::Promoted if !is_stopped => only(&record.target_version),
        RolloutPhase::Trial | RolloutPhase::Promoted | RolloutPhase::RolledBack => {
            version_after_rollout(
                &record.base_version,
                Some(&record.target_version),
                is_there,
                listed.clone(),
            )
        }
        RolloutPhase::Completed => {
            version_after_rollout(&record.target_version, None, is_there, listed.clone())
        }
    }
}

/// The version that a roll-out ended with; if its replicas are gone, the only other one there is.
///
/// A version that was rolled back stays out even where it is the only one.
fn version_after_rollout<'a>(
    version: &EcoString,
    bad: Option<&EcoString>,
    is_there: impl Fn(&EcoString) -> bool,
    listed: impl Iterator<Item = (&'a EcoString, u64)> + Clone,
) -> ServiceVersions {
    let mut others = listed.map(|(version, _)| version).filter(|listed| Some(*listed) != bad);
    let in_use = match others.next() {
        Some(only) if !is_there(version) && others.all(|other| other == only) => only,
        Some(_) | None => version,
    };
    ServiceVersions { in_use: Some(in_use.clone()), on_trial: None }
}
