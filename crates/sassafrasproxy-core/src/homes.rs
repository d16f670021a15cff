//! Replica groups and the choice of the node that is the home of each.

use std::sync::Arc;

use ecow::EcoString;
use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_wire::{Configuration, ReplicaLimits, ServiceSpec, ShardId, UpstreamSpec};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::{Member, View};

/// The replicas of one service that share shards, directly or through others. Their slots must
/// have a single owner.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaGroup {
    /// The service and the group's first shard, written `service/shard`.
    pub name: EcoString,
    /// The service.
    pub service: EcoString,
    /// All shards that replicas of the group may hold; no other group of the service has any of
    /// them.
    pub shards: IndexSet<EcoString>,
    /// The group's replicas; at least one.
    pub replicas: Vec<UpstreamSpec>,
    /// The limits of each replica.
    pub limits: ReplicaLimits,
    /// The hash of the name, for rendezvous scores.
    pub name_hash: u64,
    /// The hashes of the replicas' failure domains, without duplicates.
    pub domain_hashes: Vec<u64>,
}

/// All replica groups of a configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct GroupTable {
    groups: IndexMap<EcoString, ReplicaGroup>,
    /// For each service, the group of each shard.
    group_by_shard: IndexMap<EcoString, IndexMap<EcoString, EcoString>>,
}

impl GroupTable {
    /// Creates the table by splitting every service into its replica groups.
    pub fn new(configuration: &Configuration) -> Self {
        let mut table = Self::default();
        for service in configuration.services.values() {
            for group in split_service(service) {
                let by_shard = table.group_by_shard.entry(service.service.clone()).or_default();
                for shard in &group.shards {
                    by_shard.insert(shard.clone(), group.name.clone());
                }
                table.groups.insert(group.name.clone(), group);
            }
        }
        table
    }

    /// Returns the group that a shard belongs to.
    pub fn group_of(&self, shard: &ShardId) -> Option<&ReplicaGroup> {
        self.groups.get(self.group_by_shard.get(&shard.service)?.get(&shard.shard)?)
    }

    /// Returns a group by name.
    pub fn group(&self, name: &str) -> Option<&ReplicaGroup> {
        self.groups.get(name)
    }

    /// Returns all groups.
    pub fn groups(&self) -> impl Iterator<Item = &ReplicaGroup> {
        self.groups.values()
    }

    /// Returns the names of one service's groups.
    pub fn groups_of(&self, service: &str) -> IndexSet<&EcoString> {
        self.group_by_shard.get(service).into_iter().flat_map(IndexMap::values).collect()
    }
}

/// The nodes to ask for each group, ranked by rendezvous hashing, best first.
///
/// Members that are alive or suspected rank before leaving ones. A suspicion alone therefore moves
/// no home, and a leaving node is asked only if no other is left. Within each of the two sets,
/// members whose failure domain is in service rank first, then those that share a failure domain
/// with a replica, then those with the greater hash.
#[derive(Debug, Clone, Default)]
pub struct HomeTable {
    homes: Arc<IndexMap<EcoString, Vec<EcoString>>>,
}

/// The rank of a member as a group's home; the greatest is best, compared field by field.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct HomeRank {
    may_be_home: bool,
    is_domain_available: bool,
    shares_domain: bool,
    score: u64,
}

impl HomeTable {
    /// Returns the nodes to ask for each group, best first; at most [`View::MAX_RANKED_NODES`].
    pub fn homes(&self) -> &Arc<IndexMap<EcoString, Vec<EcoString>>> {
        &self.homes
    }

    /// Returns the home of a group.
    pub fn home(&self, group: &str) -> Option<&EcoString> {
        self.homes.get(group)?.first()
    }

    /// Ranks the members for every group.
    pub fn rank_all(
        &mut self,
        groups: &GroupTable,
        members: &[&Member],
        domains_out: &IndexSet<EcoString>,
    ) {
        let rank =
            |group: &ReplicaGroup| (group.name.clone(), best_members(group, members, domains_out));
        self.homes = Arc::new(groups.groups().map(rank).collect());
    }

    /// Ranks the members again for the groups that one joined, changed or removed member affects.
    ///
    /// Ranking every group at every change would block the control thread for seconds when a whole
    /// failure domain crashes, long enough for others to suspect this node.
    pub fn update_member(
        &mut self,
        groups: &GroupTable,
        members: &[&Member],
        domains_out: &IndexSet<EcoString>,
        changed: &str,
    ) {
        let member = members.iter().find(|member| member.node == changed);
        let by_name = |node: &EcoString| members.iter().find(|member| member.node == *node);
        let is_affected = |group: &ReplicaGroup, ranked: &[EcoString]| {
            let Some(member) = member else { return ranked.iter().any(|node| node == changed) };
            let rank = HomeRank::new(group, member, domains_out);
            let last = ranked.last().and_then(by_name);
            let is_better = last.is_none_or(|last| rank > HomeRank::new(group, last, domains_out));
            is_better
                || ranked.len() < View::MAX_RANKED_NODES
                || ranked.iter().any(|node| node == changed)
        };
        let homes = &self.homes;
        let affected: Vec<&ReplicaGroup> = groups
            .groups()
            .filter(|group| homes.get(&group.name).is_none_or(|ranked| is_affected(group, ranked)))
            .collect();
        if affected.is_empty() {
            return;
        }
        let ranked = affected
            .into_iter()
            .map(|group| (group.name.clone(), best_members(group, members, domains_out)));
        let ranked: Vec<_> = ranked.collect();
        Arc::make_mut(&mut self.homes).extend(ranked);
    }
}

impl HomeRank {
    fn new(group: &ReplicaGroup, member: &Member, domains_out: &IndexSet<EcoString>) -> Self {
        Self {
            may_be_home: member.may_be_home(),
            is_domain_available: domains_out.is_empty()
                || !domains_out.contains(&member.failure_domain),
            shares_domain: group.domain_hashes.contains(&member.domain_hash),
            score: xxh3_64_with_seed(&group.name_hash.to_le_bytes(), member.name_hash),
        }
    }
}

/// Returns the best members for a group, best first; members of equal rank are ordered by name.
fn best_members(
    group: &ReplicaGroup,
    members: &[&Member],
    domains_out: &IndexSet<EcoString>,
) -> Vec<EcoString> {
    let mut best: Vec<(HomeRank, &Member)> = Vec::with_capacity(View::MAX_RANKED_NODES + 1);
    for member in members {
        let rank = HomeRank::new(group, member, domains_out);
        let is_before = |(other_rank, other): &(HomeRank, &Member)| {
            (*other_rank, &member.node) > (rank, &other.node)
        };
        let index = best.partition_point(is_before);
        if index < View::MAX_RANKED_NODES {
            best.insert(index, (rank, member));
            best.truncate(View::MAX_RANKED_NODES);
        }
    }
    best.into_iter().map(|(_, member)| member.node.clone()).collect()
}

/// Hashes a name for rendezvous scores.
pub fn hash_name(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Splits a service into groups of replicas that share a shard, directly or through others.
fn split_service(service: &ServiceSpec) -> Vec<ReplicaGroup> {
    let mut groups: Vec<ReplicaGroup> = Vec::new();
    for upstream in &service.upstreams {
        let shards: IndexSet<EcoString> = upstream.shards.iter().cloned().collect();
        let (overlapping, disjoint): (Vec<_>, Vec<_>) =
            groups.into_iter().partition(|group| !group.shards.is_disjoint(&shards));
        groups = disjoint;
        let mut merged = ReplicaGroup {
            name: EcoString::new(),
            service: service.service.clone(),
            shards,
            replicas: Vec::new(),
            limits: service.limits,
            name_hash: 0,
            domain_hashes: Vec::new(),
        };
        for group in overlapping {
            merged.shards.extend(group.shards);
            merged.replicas.extend(group.replicas);
        }
        merged.replicas.push(upstream.clone());
        groups.push(merged);
    }
    for group in &mut groups {
        group.shards.sort();
        if let Some(first) = group.shards.first() {
            group.name = ecow::eco_format!("{}/{first}", service.service);
        }
        group.name_hash = hash_name(&group.name);
        let domains = group.replicas.iter().map(|replica| hash_name(&replica.failure_domain));
        group.domain_hashes = domains.collect::<IndexSet<u64>>().into_iter().collect();
    }
    groups
}
