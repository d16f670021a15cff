//! Measures how state, messages and processor time grow with the size of a cluster, and fits a
//! line to each.
//!
//! Every figure of docs/CAPACITY.md is derived from the output of this example.

use std::collections::VecDeque;
use std::hint::black_box;
use std::time::Instant;

use ecow::{EcoString, eco_format};
use eyre::Result;
use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_config::{assemble_configuration, chunk_services};
use sassafrasproxy_core::{
    AttemptId, AttemptResult, ControlEffect, ControlEvent, ControlPlane, ControlPolicy, Query,
    QueryEffect, QueryEvent, QuerySpec, ReplicaSpec, Scheduler, SchedulerConfiguration,
    SchedulerEffect, SchedulerEvent, SchedulerPolicy, StatusReport, SubRequestId, SubRequestSpec,
    View,
};
use sassafrasproxy_wire::{
    Body, Configuration, ConfigurationHead, GroupHoldings, HeldSnapshot, Hlc, MemberState,
    MemberUpdate, NodeHoldings, QuarantineNotice, ReplicaLimits, RequestKindSpec, ServiceSpec,
    SnapshotHolding, SubRequest, SubRequestOutcome, SubRequestReply, UpstreamSpec, UpstreamState,
    UpstreamStatus,
};

/// The numbers of members that are measured.
const MEMBER_COUNTS: [usize; 4] = [8, 64, 250, 1_000];

/// The number of replicas per member at the planned size; each group has two replicas.
const REPLICAS_PER_MEMBER: f64 = 7.7;

/// The number of failure domains at the planned size.
const FAILURE_DOMAIN_COUNT: usize = 18;

/// Measurements of one quantity at several sizes.
struct ScalingSeries {
    name: &'static str,
    unit: &'static str,
    size_unit: &'static str,
    /// Pairs of a size and the quantity measured at it.
    points: Vec<(f64, f64)>,
}

fn main() -> Result<()> {
    let mut all_series = control_series()?;
    all_series.extend(configuration_series()?);
    all_series.push(query_series());
    for series in &all_series {
        series.print();
    }
    println!("\nper message or event:");
    print_scheduler_cost();
    print_message_costs()?;
    Ok(())
}

/// Measures control state, time and bytes over the number of members.
fn control_series() -> Result<Vec<ScalingSeries>> {
    let mut heartbeat_us =
        ScalingSeries::new("receiving and answering a heartbeat", "us", "member");
    let mut heartbeat_bytes =
        ScalingSeries::new("a heartbeat without pending updates", "bytes", "member");
    let mut newcomer_bytes =
        ScalingSeries::new("the heartbeat that answers a new member", "bytes", "member");
    let mut homes_us = ScalingSeries::new(
        "processing the death of a member (homes are reassigned)",
        "us",
        "member",
    );
    let mut memory_kb = ScalingSeries::new("control state", "KB", "member");
    for members in MEMBER_COUNTS {
        let before_kb = resident_kb()?;
        let mut control = converged_control(members);
        memory_kb.points.push((members as f64, resident_kb()?.saturating_sub(before_kb) as f64));
        let mut peer = converged_control(members);
        let heartbeat = peer.heartbeat(Hlc::default(), None);
        let time_us = mean_time_us_after_warm_up(2_000, |round| {
            let event = ControlEvent::HeartbeatReceived(heartbeat.clone());
            black_box(control.step(round as u64, event));
            black_box(control.heartbeat(Hlc::default(), Some(&heartbeat)));
        });
        heartbeat_us.points.push((members as f64, time_us));
        heartbeat_bytes.points.push((members as f64, json_bytes(&heartbeat)? as f64));
        let newcomer = ControlPlane::new(&member_update(members + 1), [], policy(), 1, 0)
            .heartbeat(Hlc::default(), None);
        let answer = control.heartbeat(Hlc::default(), Some(&newcomer));
        newcomer_bytes.points.push((members as f64, json_bytes(&answer)? as f64));
        let rounds = 20.min(members - 2);
        let time_us = mean_time_us(rounds, |round| {
            let mut dead = heartbeat.clone();
            let state = MemberState::Dead;
            dead.updates = vec![MemberUpdate { state, ..member_update(round + 2) }];
            black_box(control.step(10_000, ControlEvent::HeartbeatReceived(dead)));
        });
        homes_us.points.push((members as f64, time_us));
    }
    Ok(vec![heartbeat_us, heartbeat_bytes, newcomer_bytes, homes_us, memory_kb])
}

/// Returns a control reducer that has all members, the configuration and all groups' holdings.
fn converged_control(members: usize) -> ControlPlane {
    let mut control = ControlPlane::new(&member_update(0), [], policy(), 1, 0);
    for number in 1..members {
        let mut peer = ControlPlane::new(&member_update(number), [], policy(), 1, 0);
        let heartbeat = peer.heartbeat(Hlc::default(), None);
        control.step(1, ControlEvent::HeartbeatReceived(heartbeat));
    }
    // Sends enough heartbeats that no updates about the joins stay pending.
    for _ in 0..members * 40 {
        control.heartbeat(Hlc::default(), None);
    }
    let groups = (members as f64 * REPLICAS_PER_MEMBER / 2.0) as usize;
    let configuration = configuration(groups);
    control.step(2, ControlEvent::ConfigurationReceived(configuration));
    let view = control.view();
    let mut by_home: IndexMap<EcoString, Vec<GroupHoldings>> = IndexMap::new();
    for (group, ranked) in view.homes.iter() {
        by_home.entry(ranked[0].clone()).or_default().push(group_holdings(group, &ranked[0]));
    }
    for (node, groups) in by_home {
        let holdings = NodeHoldings { node, version: 1, is_whole: true, groups };
        control.step(3, ControlEvent::HoldingsReceived(holdings));
    }
    control
}

/// Measures bytes and time of the configuration over the number of replicas.
fn configuration_series() -> Result<Vec<ScalingSeries>> {
    let mut bytes = ScalingSeries::new("the chunks of a configuration", "bytes", "replica");
    let mut assemble_us =
        ScalingSeries::new("assembling and checking a configuration", "us", "replica");
    let mut changed_bytes =
        ScalingSeries::new("chunks rewritten when one service changes", "bytes", "replica");
    for members in MEMBER_COUNTS {
        let groups = (members as f64 * REPLICAS_PER_MEMBER / 2.0) as usize;
        let replicas = 2.0 * groups as f64;
        let configuration = configuration(groups);
        let chunks = chunk_services(&configuration.services, 1, &IndexSet::new());
        bytes
            .points
            .push((replicas, chunks.iter().map(|chunk| chunk.text.len()).sum::<usize>() as f64));
        let head = ConfigurationHead {
            revision: 1,
            publish_id: "id".into(),
            published_by: "me".into(),
            domains_out: IndexSet::new(),
            chunks: chunks.iter().map(|chunk| chunk.name.clone()).collect(),
        };
        let texts = chunks.iter().map(|chunk| (chunk.name.clone(), chunk.text.clone())).collect();
        let time = mean_time_us_after_warm_up(10, |_| {
            drop(black_box(assemble_configuration(&head, &texts)));
        });
        assemble_us.points.push((replicas, time));
        let mut changed = configuration.services.clone();
        if let Some(service) = changed.values_mut().next() {
            service.deadline_ms += 1;
        }
        let known = chunks.iter().map(|chunk| chunk.name.clone()).collect();
        let new = chunk_services(&changed, 2, &known);
        let rewritten = new.iter().filter(|chunk| !known.contains(&chunk.name));
        let rewritten: usize = rewritten.map(|chunk| chunk.text.len()).sum();
        changed_bytes.points.push((replicas, rewritten as f64));
    }
    Ok(vec![bytes, assemble_us, changed_bytes])
}

/// Measures the time of the query reducer over the number of shards, without I/O.
fn query_series() -> ScalingSeries {
    let mut series = ScalingSeries::new("the query reducer for a query", "us", "shard");
    for shards in [8, 50, 400, 1_600] {
        let view = node_view(shards);
        let spec = QuerySpec {
            services: view.configuration.services.keys().cloned().collect(),
            is_idempotent: true,
            min_coverage: 1.0,
            soft_deadline_us: 90_000,
        };
        let time = mean_time_us_after_warm_up(20, |_| {
            let mut query = Query::new(spec.clone());
            let mut effects: VecDeque<_> = query.step(0, QueryEvent::Start, &view).into();
            while let Some(effect) = effects.pop_front() {
                if let QueryEffect::RequestShard { token, .. } = effect {
                    let outcome = SubRequestOutcome::Answered;
                    let event = QueryEvent::Replied { token, outcome };
                    effects.extend(query.step(1, event, &view));
                }
            }
        });
        series.points.push((shards as f64, time));
    }
    series
}

/// Prints the time that the scheduler reducer takes for a sub-request, without I/O.
fn print_scheduler_cost() {
    let spec = |number: usize| ReplicaSpec {
        address: eco_format!("10.2.0.{number}:7101"),
        failure_domain: eco_format!("domain-{number}"),
        shards: ["s0".into()].into_iter().collect(),
    };
    let mut scheduler = Scheduler::new(SchedulerConfiguration {
        group: "service-0/s0".into(),
        service: "service-0".into(),
        replicas: (0..2).map(spec).collect(),
        policy: SchedulerPolicy::new(2, 64),
        domains_out: IndexSet::new(),
        leaving_upstreams: IndexSet::new(),
    });
    scheduler.step(0, SchedulerEvent::BecomeHome { view_skew_us: 0 });
    for number in 0..2 {
        let report = StatusReport::Read(UpstreamStatus {
            boot_id: "boot".into(),
            state: UpstreamState::Serving,
            load: 0,
            slots: 2,
            snapshots: vec![held_snapshot()],
        });
        let replica = spec(number).address;
        scheduler.step(0, SchedulerEvent::Status { replica, probe_id: None, report });
    }
    let mut now_us = 1_000;
    let mut open_attempts: VecDeque<AttemptId> = VecDeque::new();
    let time = mean_time_us_after_warm_up(50_000, |round| {
        now_us += 1_000;
        let sub_request = SubRequestSpec {
            id: SubRequestId(round as u64),
            shard: "s0".into(),
            snapshot: 7,
            is_idempotent: true,
            may_hedge: true,
            fingerprint: round as u64,
            deadline_us: now_us + 90_000,
        };
        let mut effects = scheduler.step(now_us, SchedulerEvent::Submit(sub_request));
        if open_attempts.len() >= 2
            && let Some(attempt) = open_attempts.pop_front()
        {
            let report = AttemptResult::Answered.into();
            effects.extend(scheduler.step(now_us, SchedulerEvent::Finished { attempt, report }));
        }
        for effect in effects {
            if let SchedulerEffect::Send { attempt, .. } = effect {
                open_attempts.push_back(attempt);
            }
        }
        black_box(scheduler.next_timer_us(now_us));
    });
    println!("  {:<44} {time:>10.2} us", "the scheduler reducer for a sub-request");
}

/// Prints the bytes and codec time of messages between nodes.
fn print_message_costs() -> Result<()> {
    let body = |text: &str| -> Result<Body> {
        Ok(Body::from(serde_json::value::RawValue::from_string(text.into())?))
    };
    let request = SubRequest {
        id: "0123456789abcdef0123456789abcdef-vm-1-18f-1.1".into(),
        request_id: "0123456789abcdef0123456789abcdef".into(),
        shard: sassafrasproxy_wire::ShardId::new("service-0", "s0"),
        snapshot: 7,
        kind: "search".into(),
        deadline_ms: 85,
        fallback: false,
        forwarded: false,
        body: body(&format!("{{\"text\":\"{}\"}}", "v".repeat(64)))?,
    };
    let reply = SubRequestReply {
        outcome: SubRequestOutcome::Answered,
        holdings: None,
        body: Some(body(&format!("{{\"hits\":\"{}\"}}", "h".repeat(200)))?),
    };
    print_codec_cost("a sub-request, 64 byte body", &request)?;
    print_codec_cost("a sub-request reply, 200 byte body", &reply)?;
    print_codec_cost("one group's holdings", &group_holdings("service-0/s0", "vm-1"))?;
    print_codec_cost(
        "a quarantine notice",
        &QuarantineNotice { fingerprint: u64::MAX, ttl_ms: 60_000 },
    )?;
    Ok(())
}

/// Prints the size of a message and the time to encode and decode it.
fn print_codec_cost<T: serde::Serialize + serde::de::DeserializeOwned>(
    name: &str,
    value: &T,
) -> Result<()> {
    let bytes = json_bytes(value)?;
    let time = mean_time_us_after_warm_up(20_000, |_| {
        let text = serde_json::to_string(black_box(value)).unwrap_or_default();
        drop(black_box(serde_json::from_str::<T>(&text)));
    });
    println!("  {name:<44} {time:>10.2} us, {bytes} bytes");
    Ok(())
}

impl ScalingSeries {
    fn new(name: &'static str, unit: &'static str, size_unit: &'static str) -> Self {
        Self { name, unit, size_unit, points: Vec::new() }
    }

    /// Prints the points and a least-squares fit with the standard error of its slope.
    fn print(&self) {
        let count = self.points.len() as f64;
        let mean_x = self.points.iter().map(|(x, _)| x).sum::<f64>() / count;
        let mean_y = self.points.iter().map(|(_, y)| y).sum::<f64>() / count;
        let sum_dx_dx = self.points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum::<f64>();
        let sum_dx_dy = self.points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>();
        let gradient = sum_dx_dy / sum_dx_dx;
        let intercept = mean_y - gradient * mean_x;
        let sum_residuals_squared =
            self.points.iter().map(|(x, y)| (y - intercept - gradient * x).powi(2)).sum::<f64>();
        let standard_error = (sum_residuals_squared / (count - 2.0) / sum_dx_dx).sqrt();
        println!("{} ({})", self.name, self.unit);
        for (x, y) in &self.points {
            println!("  {x:>6.0} {:<8} {y:>12.1}", self.size_unit);
        }
        println!(
            "  fit: {intercept:.1} + {gradient:.4} +- {standard_error:.4} per {}",
            self.size_unit
        );
    }
}

fn configuration(groups: usize) -> Configuration {
    let upstream = |number: usize, replica: usize| UpstreamSpec {
        address: eco_format!("10.2.{}.{}:{}", number / 250, number % 250, 7_100 + replica),
        failure_domain: eco_format!("domain-{}", (number + replica) % FAILURE_DOMAIN_COUNT),
        shards: vec!["s0".into()],
    };
    let service = |number: usize| {
        let spec = ServiceSpec {
            service: eco_format!("service-{number}"),
            index: "catalogue".into(),
            failure_domains: (0..2)
                .map(|replica| eco_format!("domain-{}", (number + replica) % FAILURE_DOMAIN_COUNT))
                .collect(),
            upstreams: vec![upstream(number, 0), upstream(number, 1)],
            limits: ReplicaLimits { slots: 2, connections: 25, queue: 64 },
            deadline_ms: 90,
            kinds: [("search".into(), RequestKindSpec { idempotent: true, hedge: true })].into(),
        };
        (spec.service.clone(), spec)
    };
    let services = (0..groups).map(service).collect();
    Configuration { revision: 1, services, domains_out: IndexSet::new() }
}

/// Returns the view of a node with `groups` groups of one shard each.
fn node_view(groups: usize) -> View {
    let mut control = ControlPlane::new(&member_update(0), [], policy(), 1, 0);
    control.step(1, ControlEvent::ConfigurationReceived(configuration(groups)));
    let groups: Vec<GroupHoldings> =
        control.view().homes.keys().map(|group| group_holdings(group, "vm-0")).collect();
    let holdings = NodeHoldings { node: "vm-0".into(), version: 1, is_whole: true, groups };
    let effects = control.step(2, ControlEvent::HoldingsReceived(holdings));
    assert!(effects.contains(&ControlEffect::PublishView));
    control.view()
}

fn group_holdings(group: &str, home: &str) -> GroupHoldings {
    GroupHoldings {
        group: group.into(),
        home: home.into(),
        made_at: Hlc { wall_ms: 1_700_000_000_000, count: 0 },
        snapshots: vec![SnapshotHolding {
            id: 7,
            layout: vec!["s0".into()],
            servable: vec!["s0".into()],
        }],
    }
}

fn held_snapshot() -> HeldSnapshot {
    HeldSnapshot { id: 7, shards: vec!["s0".into()], layout: vec!["s0".into()] }
}

fn member_update(number: usize) -> MemberUpdate {
    MemberUpdate {
        node: eco_format!("vm-{number}"),
        peer_address: eco_format!("10.0.{}.{}:7002", number / 250, number % 250),
        address: eco_format!("10.0.{}.{}:7001", number / 250, number % 250),
        failure_domain: eco_format!("domain-{}", number % FAILURE_DOMAIN_COUNT),
        relay_address: EcoString::new(),
        cpu_millis: 0,
        state: MemberState::Alive,
        incarnation: 1_700_000_000_000,
    }
}

fn policy() -> ControlPolicy {
    ControlPolicy::default()
}

fn json_bytes<T: serde::Serialize>(value: &T) -> Result<usize> {
    Ok(serde_json::to_vec(value)?.len())
}

/// Returns the mean time of a round in microseconds, after a warm-up of a tenth as many rounds.
fn mean_time_us_after_warm_up(rounds: usize, mut round: impl FnMut(usize)) -> f64 {
    (0..rounds / 10).for_each(&mut round);
    mean_time_us(rounds, round)
}

/// Returns the mean time of a round in microseconds.
fn mean_time_us(rounds: usize, mut round: impl FnMut(usize)) -> f64 {
    let start = Instant::now();
    (0..rounds).for_each(&mut round);
    start.elapsed().as_secs_f64() * 1e6 / rounds as f64
}

/// Returns the resident memory of this process, in KB.
fn resident_kb() -> Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0");
    Ok(line.trim().trim_end_matches(" kB").parse()?)
}
