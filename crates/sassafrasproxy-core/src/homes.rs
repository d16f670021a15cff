//! Replica groups, and which node is the home of each.

use ecow::EcoString;
use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_wire::{Configuration, Limits, ServiceSpec, ShardId, UpstreamSpec};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::Member;

/// Replicas of one service that share shards, so that their slots must have one owner.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaGroup {
    /// The service and the group's first shard, written `service/shard`.
    pub name: EcoString,
    /// The service.
    pub service: EcoString,
    /// Every shard that a replica of the group may hold; no other group of the service has one.
    pub shards: IndexSet<EcoString>,
    /// The group's replicas; at least one.
    pub replicas: Vec<UpstreamSpec>,
    /// What each replica bears.
    pub limits: Limits,
}

/// All replica groups of a configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct GroupTable {
    groups: IndexMap<EcoString, ReplicaGroup>,
    /// For each service, the group of each shard.
    by_shard: IndexMap<EcoString, IndexMap<EcoString, EcoString>>,
}

impl GroupTable {
    /// Splits every service into its replica groups.
    pub fn new(configuration: &Configuration) -> Self {
        let mut table = Self::default();
        for service in configuration.services.values() {
            for group in split_service(service) {
                let by_shard = table.by_shard.entry(service.service.clone()).or_default();
                for shard in &group.shards {
                    by_shard.insert(shard.clone(), group.name.clone());
                }
                table.groups.insert(group.name.clone(), group);
            }
        }
        table
    }

    /// The group that a shard belongs to.
    pub fn group_of(&self, shard: &ShardId) -> Option<&ReplicaGroup> {
        self.groups.get(self.by_shard.get(&shard.service)?.get(&shard.shard)?)
    }

    /// One group by name.
    pub fn group(&self, name: &str) -> Option<&ReplicaGroup> {
        self.groups.get(name)
    }

    /// All groups.
    pub fn groups(&self) -> impl Iterator<Item = &ReplicaGroup> {
        self.groups.values()
    }

    /// The groups of one service.
    pub fn groups_of(&self, service: &str) -> IndexSet<&EcoString> {
        self.by_shard.get(service).into_iter().flat_map(IndexMap::values).collect()
    }
}

/// Ranks the members that may be a group's home by rendezvous hashing, best first.
///
/// Members that are alive or suspected come first, so that a suspicion alone moves nothing and a
/// leaving node is asked only when no other is left. Then come those whose failure domain is not
/// out, and of these the ones that share a failure domain with a replica.
pub fn rank_homes<'a>(
    group: &ReplicaGroup,
    members: impl Iterator<Item = &'a Member>,
    domains_out: &IndexSet<EcoString>,
) -> Vec<&'a Member> {
    let domains: IndexSet<&EcoString> =
        group.replicas.iter().map(|replica| &replica.failure_domain).collect();
    let group_hash = xxh3_64(group.name.as_bytes()).to_le_bytes();
    let rank = |member: &Member| {
        let is_in = !domains_out.contains(&member.failure_domain);
        let is_near = domains.contains(&member.failure_domain);
        let score = xxh3_64_with_seed(&group_hash, member.name_hash);
        (member.may_be_home(), is_in, is_near, score)
    };
    let mut ranked: Vec<_> = members.map(|member| (rank(member), member)).collect();
    ranked.sort_unstable_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.node.cmp(&b.1.node)));
    ranked.into_iter().map(|(_, member)| member).collect()
}

/// Hashes a name for rendezvous scores.
pub fn hash_name(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Joins replicas that share a shard, directly or through others.
fn split_service(service: &ServiceSpec) -> Vec<ReplicaGroup> {
    let mut groups: Vec<ReplicaGroup> = Vec::new();
    for upstream in &service.upstreams {
        let shards: IndexSet<EcoString> = upstream.shards.iter().cloned().collect();
        let (joined, apart): (Vec<_>, Vec<_>) =
            groups.into_iter().partition(|group| !group.shards.is_disjoint(&shards));
        groups = apart;
        let mut merged = ReplicaGroup {
            name: EcoString::new(),
            service: service.service.clone(),
            shards,
            replicas: Vec::new(),
            limits: service.limits,
        };
        for group in joined {
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
    }
    groups
}
