//! Selects the versions of a service that may get requests.

use ecow::EcoString;

use super::order::{RolloutPhase, RolloutRecord};

/// The versions of one service that may get requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceVersions {
    /// The version that all requests may use; `None` while no replica may be used.
    pub in_use: Option<EcoString>,
    /// The version on trial, if any.
    pub on_trial: Option<EcoString>,
}

/// Returns the versions of a service that may get requests.
///
/// `listed` yields the version and the start time in milliseconds of each replica of the service.
/// Without a record, only the version of the replica that started first is used, so that a version
/// that no order names gets no requests. `is_stopped` is whether a node announced that the rollout
/// is stopped, which may precede the record.
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
    let is_listed = |version: &EcoString| listed.clone().any(|(listed, _)| listed == version);
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
                is_listed,
                listed.clone(),
            )
        }
        RolloutPhase::Completed => {
            version_after_rollout(&record.target_version, None, is_listed, listed.clone())
        }
    }
}

/// Returns the version that a rollout ended with or, if no replica has it, the only other version.
///
/// A version that was rolled back (`bad`) is not used, even if it is the only one.
fn version_after_rollout<'a>(
    version: &EcoString,
    bad: Option<&EcoString>,
    is_listed: impl Fn(&EcoString) -> bool,
    listed: impl Iterator<Item = (&'a EcoString, u64)> + Clone,
) -> ServiceVersions {
    let mut others = listed.map(|(version, _)| version).filter(|listed| Some(*listed) != bad);
    let in_use = match others.next() {
        Some(only) if !is_listed(version) && others.all(|other| other == only) => only,
        Some(_) | None => version,
    };
    ServiceVersions { in_use: Some(in_use.clone()), on_trial: None }
}
