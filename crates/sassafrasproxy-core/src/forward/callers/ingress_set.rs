//! Selects the ingress nodes: the ones that callers are sent to.

use std::cmp::Reverse;

use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_wire::MemberState;

use super::directory::DirectoryNode;
use crate::hash_name;

/// The minimum number of ingress nodes in a failure domain, if it has as many suitable nodes.
///
/// Callers of the failure domain stay in it when one of the two is lost.
const MIN_NODES_PER_DOMAIN: usize = 2;

/// The minimum number of ingress nodes, if there are as many suitable nodes.
///
/// A failure domain and a VM can be lost before the fleet's work has been measured.
const MIN_NODES: usize = 8;

/// The number of ingress nodes outside the lost failure domain of which one more may be lost.
const NODES_PER_LOST_NODE: usize = 10;

/// The factor by which the capacity that remains after the losses should exceed the work.
///
/// The parts of a query arrive together, so that a node's latency grows well before its processor
/// is fully used.
const WANTED_HEADROOM: u64 = 4;

/// The factor by which the capacity has to exceed the work for the larger nodes alone to suffice.
const REQUIRED_HEADROOM: u64 = 2;

/// The factor by which the work may exceed its average for moments, for the time of requests.
const BURST_MARGIN: f64 = 1.25;

/// The factor by which requests may take longer than with the best number of nodes, if fewer nodes
/// then serve callers.
const TIME_TOLERANCE: f64 = 1.5;

/// The divisor of the fleet's processor time, without the losses to be borne, that gives the work
/// of the ingress nodes as long as no more is measured.
const ASSUMED_WORK_DIVISOR: u64 = 16;

/// Marks the ingress nodes among `nodes`: the fewest that carry the work of the fleet, with room for
/// the loss of a failure domain and of some other nodes.
///
/// Answers the loss of a failure domain under load, and the opposite failure: the more nodes callers
/// are spread over, the fewer requests each node has to learn from, and the more connections all of
/// them hold to each replica.
///
/// `work_millis` is the processor time that requests take on all nodes together, in thousandths of a
/// core; see `FleetWork`. The result depends on the arguments only, so that nodes with the same view
/// select the same set. Only alive nodes are marked.
///
/// Larger nodes are taken first, in rounds of one node of each failure domain. No fraction of the
/// largest node's size decides: a smaller node is added as long as it has more processor time than
/// the selected nodes have to spare on average, since it then shortens the time of an average
/// request. One node's size alone, however large, does not change which others are selected.
pub fn mark_ingress_nodes(nodes: &mut [DirectoryNode], work_millis: u32) {
    let selected = select(nodes, u64::from(work_millis.max(1)));
    for (index, node) in nodes.iter_mut().enumerate() {
        node.is_ingress = selected.contains(&index);
    }
}

/// Returns the nodes that callers are normally sent to, which `mark_ingress_nodes` marked.
pub fn ingress_nodes(nodes: &[DirectoryNode]) -> Vec<&DirectoryNode> {
    nodes.iter().filter(|node| node.is_ingress).collect()
}

/// Returns the nodes that relay requests to replicas of their failure domain: its ingress nodes, or
/// its two largest nodes if it has fewer.
///
/// Requests of all other failure domains pass through them, so that few nodes see enough of each
/// replica to choose well, and hold connections to it.
pub fn relay_nodes(nodes: &[DirectoryNode]) -> Vec<&DirectoryNode> {
    let mut by_domain: IndexMap<&str, Vec<&DirectoryNode>> = IndexMap::new();
    for node in nodes {
        if node.state == MemberState::Alive && !node.relay_address.is_empty() {
            by_domain.entry(&node.failure_domain).or_default().push(node);
        }
    }
    let relays = by_domain.into_values().flat_map(|mut nodes| {
        nodes.sort_by_cached_key(|node| {
            (!node.is_ingress, Reverse(node.cpu_millis), hash_name(&node.address))
        });
        let ingress_count = nodes.iter().filter(|node| node.is_ingress).count();
        nodes.truncate(ingress_count.max(MIN_NODES_PER_DOMAIN));
        nodes
    });
    relays.collect()
}

/// Returns the work that is assumed of a fleet until more is measured, in thousandths of a core.
///
/// A deployment is planned to carry its work after the loss of its largest failure domain and of a
/// VM, so the work is assumed as a part of what remains then.
pub fn assumed_work_millis(nodes: &[DirectoryNode]) -> u32 {
    let mut by_domain: IndexMap<&str, u64> = IndexMap::new();
    let alive = || nodes.iter().filter(|node| node.state == MemberState::Alive);
    for node in alive() {
        *by_domain.entry(&node.failure_domain).or_default() += u64::from(node.cpu_millis);
    }
    let lost_domain = by_domain.iter().max_by_key(|(_, millis)| **millis).map(|(name, _)| *name);
    let lost_domain = lost_domain.filter(|_| by_domain.len() > 1);
    let remaining = alive().filter(|node| Some(node.failure_domain.as_str()) != lost_domain);
    let remaining: Vec<u64> = remaining.map(|node| u64::from(node.cpu_millis)).collect();
    let lost_node = remaining.iter().max().copied().unwrap_or(0);
    let millis = (remaining.iter().sum::<u64>() - lost_node) / ASSUMED_WORK_DIVISOR;
    u32::try_from(millis).unwrap_or(u32::MAX)
}

/// Returns the indices of the selected nodes.
fn select(nodes: &[DirectoryNode], work_millis: u64) -> IndexSet<usize> {
    let rounds = rounds(nodes);
    let domains: IndexSet<&str> =
        rounds.iter().flatten().map(|index| nodes[*index].failure_domain.as_str()).collect();
    let mut selection = Selection::new(nodes, domains.len() > 1);
    for (round, candidates) in rounds.iter().enumerate() {
        let (count, capacity) = (selection.chosen.len(), selection.capacity_after_losses());
        let is_complete = round >= MIN_NODES_PER_DOMAIN && count >= MIN_NODES;
        for index in candidates {
            let is_wanted = !is_complete || capacity < selection.wanted_millis(*index, work_millis);
            if is_wanted && selection.is_suitable(*index, work_millis) {
                selection.add(*index);
            }
        }
        // Where one failure domain has most of the nodes, more of these do not help once it is lost.
        let is_limited = is_complete
            && selection.capacity_after_losses() <= capacity
            && selection.capacity() >= WANTED_HEADROOM * work_millis;
        if selection.chosen.len() == count || is_limited {
            break;
        }
    }
    selection.drop_small(work_millis);
    add_for_load(&mut selection, &rounds, work_millis);
    selection.chosen
}

/// Adds the largest of the other nodes if the selected ones are busy for more than half of the time
/// and requests then take less time, as few as come close to the least time.
///
/// Answers a load that the selected nodes cannot carry. Callers use each of their addresses equally
/// often, so a few small nodes beside large ones would be overloaded first; then none is added.
fn add_for_load(selection: &mut Selection<'_>, rounds: &[Vec<usize>], work_millis: u64) {
    if selection.capacity() >= REQUIRED_HEADROOM * work_millis {
        return;
    }
    let mut others: Vec<usize> = rounds
        .iter()
        .flatten()
        .copied()
        .filter(|index| !selection.chosen.contains(index))
        .collect();
    // The sort is stable, so that nodes of one size stay in the order of rounds.
    others.sort_by_key(|index| Reverse(selection.nodes[*index].cpu_millis));
    let mut counts = selection.count_by_size();
    let mut times = vec![mean_time(&counts, work_millis)];
    for index in &others {
        *counts.entry(selection.nodes[*index].cpu_millis).or_default() += 1;
        times.push(mean_time(&counts, work_millis));
    }
    let least = times.iter().copied().fold(f64::INFINITY, f64::min);
    // Where even all nodes are overloaded, all of them share the work.
    let added = times.iter().position(|time| *time <= least * TIME_TOLERANCE);
    let added = added.filter(|_| least.is_finite()).unwrap_or(others.len());
    others.iter().take(added).for_each(|index| selection.add(*index));
}

/// Returns the mean time of a request, relative to its processor time on a whole core, if the nodes
/// share the requests equally; infinite if a node would be overloaded.
///
/// The nodes are counted by size. A node serves its requests at the speed that it has to spare, as a
/// queue with random arrivals does.
fn mean_time(counts: &IndexMap<u32, usize>, work_millis: u64) -> f64 {
    let total = counts.values().sum::<usize>() as f64;
    let used_millis = work_millis as f64 * BURST_MARGIN / total;
    let time = |(size, count): (&u32, &usize)| {
        let spare_millis = f64::from(*size) - used_millis;
        if spare_millis > 0.0 { *count as f64 * 1_000.0 / spare_millis } else { f64::INFINITY }
    };
    counts.iter().map(time).sum::<f64>() / total
}

/// Returns the indices of the alive nodes in rounds, each with the next largest node of every
/// failure domain, the larger first.
fn rounds(nodes: &[DirectoryNode]) -> Vec<Vec<usize>> {
    let mut by_domain: IndexMap<&str, Vec<usize>> = IndexMap::new();
    for (index, node) in nodes.iter().enumerate() {
        if node.state == MemberState::Alive {
            by_domain.entry(&node.failure_domain).or_default().push(index);
        }
    }
    // Among equal nodes, the hash gives an order that an added or lost node does not change.
    let order = |index: &usize| {
        let node = &nodes[*index];
        (Reverse(node.cpu_millis), hash_name(&node.address))
    };
    by_domain.values_mut().for_each(|indices| indices.sort_by_cached_key(order));
    let count = by_domain.values().map(Vec::len).max().unwrap_or(0);
    let round = |round: usize| {
        let mut indices: Vec<usize> =
            by_domain.values().filter_map(|indices| indices.get(round).copied()).collect();
        indices.sort_by_cached_key(order);
        indices
    };
    (0..count).map(round).collect()
}

/// The nodes selected so far, and sums over them.
#[derive(Debug, Clone)]
struct Selection<'a> {
    nodes: &'a [DirectoryNode],
    /// Whether the nodes are in more than one failure domain, one of which can be lost.
    has_domains: bool,
    chosen: IndexSet<usize>,
    count_by_domain: IndexMap<&'a str, usize>,
    max_domain_count: usize,
    sum_millis: u64,
    max_millis: u64,
    min_millis: u64,
}

impl<'a> Selection<'a> {
    fn new(nodes: &'a [DirectoryNode], has_domains: bool) -> Self {
        Self {
            nodes,
            has_domains,
            chosen: IndexSet::new(),
            count_by_domain: IndexMap::new(),
            max_domain_count: 0,
            sum_millis: 0,
            max_millis: 0,
            min_millis: u64::MAX,
        }
    }

    fn add(&mut self, index: usize) {
        let node = &self.nodes[index];
        let millis = u64::from(node.cpu_millis);
        let count = self.count_by_domain.entry(&node.failure_domain).or_default();
        *count += 1;
        self.max_domain_count = self.max_domain_count.max(*count);
        self.chosen.insert(index);
        self.sum_millis += millis;
        self.max_millis = self.max_millis.max(millis);
        self.min_millis = self.min_millis.min(millis);
    }

    /// Returns the capacity after the losses up to which a node should be added, in thousandths of a
    /// core.
    ///
    /// It grows from zero for a node that is just suitable to the whole headroom for one as large as
    /// the others, so that the set changes smoothly with the sizes and the work.
    fn wanted_millis(&self, index: usize, work_millis: u64) -> u64 {
        let (mean, spare) = (self.mean_millis(), self.spare_millis(work_millis));
        let above_spare = u64::from(self.nodes[index].cpu_millis).saturating_sub(spare);
        let wanted = WANTED_HEADROOM * work_millis;
        let share = above_spare.min(mean - spare);
        (wanted * share).checked_div(mean - spare).unwrap_or(wanted)
    }

    /// Returns whether a node may be added, given the work of the fleet.
    ///
    /// A node that is smaller than what the others have to spare lengthens the time of requests. It
    /// is added only where too little would remain after the losses, its failure domain has no more
    /// selected nodes than another, and all together then have the required capacity; callers use
    /// each of their addresses equally often.
    fn is_suitable(&self, index: usize, work_millis: u64) -> bool {
        if u64::from(self.nodes[index].cpu_millis) > self.spare_millis(work_millis) {
            return true;
        }
        let domain = self.nodes[index].failure_domain.as_str();
        let count = self.count_by_domain.get(domain).copied().unwrap_or(0);
        let others = self.count_by_domain.iter().filter(|(name, _)| **name != domain);
        let is_even = !self.has_domains || others.map(|(_, other)| *other).max() >= Some(count);
        if !is_even || self.capacity_after_losses() >= work_millis {
            return false;
        }
        let mut extended = self.clone();
        extended.add(index);
        extended.capacity() >= REQUIRED_HEADROOM * work_millis
    }

    /// Drops the smallest nodes that would not be added to the others.
    ///
    /// A failure domain's largest node may be taken before the larger ones of other failure domains.
    fn drop_small(&mut self, work_millis: u64) {
        self.chosen.sort_by_key(|index| Reverse(self.nodes[*index].cpu_millis));
        while let Some(smallest) = self.chosen.pop() {
            let mut others = Self::new(self.nodes, self.has_domains);
            self.chosen.iter().for_each(|index| others.add(*index));
            if others.is_suitable(smallest, work_millis) {
                self.chosen.insert(smallest);
                return;
            }
            *self = others;
        }
    }

    /// Returns the mean size of the selected nodes, in thousandths of a core.
    ///
    /// The largest node does not count, so that one node's size does not decide on the others.
    fn mean_millis(&self) -> u64 {
        let others = self.chosen.len().saturating_sub(1) as u64;
        (self.sum_millis - self.max_millis).checked_div(others).unwrap_or(0)
    }

    /// Returns the processor time that a selected node has to spare on average, in thousandths of
    /// a core.
    fn spare_millis(&self, work_millis: u64) -> u64 {
        let used = work_millis.div_ceil(self.chosen.len().max(1) as u64);
        self.mean_millis().saturating_sub(used)
    }

    /// Returns the number of selected nodes of each size, in thousandths of a core.
    fn count_by_size(&self) -> IndexMap<u32, usize> {
        let mut counts = IndexMap::new();
        for index in &self.chosen {
            *counts.entry(self.nodes[*index].cpu_millis).or_default() += 1;
        }
        counts
    }

    /// Returns the work at which the smallest selected node would be fully used, in thousandths of
    /// a core: callers use each of their addresses equally often.
    fn capacity(&self) -> u64 {
        self.capacity_of(self.chosen.len())
    }

    /// Returns the capacity that remains after the loss of the failure domain with the most
    /// selected nodes and of some others.
    fn capacity_after_losses(&self) -> u64 {
        let lost_domain = if self.has_domains { self.max_domain_count } else { 0 };
        let remaining = self.chosen.len() - lost_domain;
        self.capacity_of(remaining - remaining.div_ceil(NODES_PER_LOST_NODE))
    }

    fn capacity_of(&self, count: usize) -> u64 {
        if count == 0 { 0 } else { count as u64 * self.min_millis }
    }
}
