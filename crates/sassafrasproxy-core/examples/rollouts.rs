//! Plays roll-outs of good and bad versions with the real reducers, and prints what came of them.

#[path = "../tests/nodes/mod.rs"]
mod nodes;
#[path = "../tests/rollout_model/mod.rs"]
mod rollout_model;

use clap::{Arg, Command, value_parser};
use indexmap::IndexMap;
use sassafrasproxy_core::{RolloutPhase, RolloutPolicy};

use crate::rollout_model::{
    RolloutResult, VersionBehavior, behavior_name, random_scenario, simulate,
};

/// One row of the table.
#[derive(Default)]
struct Row {
    count: u64,
    rolled_back: u64,
    completed: u64,
    in_time: u64,
    over_bound: u64,
    late_runs: u64,
    wrong_sends: u64,
    sends_before_order: u64,
    bad_answers: u64,
    /// The greatest exposure in parts of the bound.
    max_exposure_ratio: f64,
    end_fraction_sum: f64,
}

fn main() {
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(f64))
    };
    let matches = Command::new("rollouts")
        .arg(Arg::new("seeds").long("seeds").default_value("100").value_parser(value_parser!(u64)))
        .arg(Arg::new("first").long("first").default_value("1").value_parser(value_parser!(u64)))
        .arg(number("trial-part", "0.6"))
        .arg(number("spread-part", "1.3"))
        .arg(number("permit-part", "0.9"))
        .arg(number("share-part", "0.3"))
        .arg(Arg::new("verbose").long("verbose").num_args(0))
        .get_matches();
    let part = |name: &str| *matches.get_one::<f64>(name).expect("it has a default");
    let policy = RolloutPolicy {
        trial_fraction: part("trial-part"),
        permit_spread_factor: part("spread-part"),
        permit_fraction: part("permit-part"),
        canary_share_fraction: part("share-part"),
        ..RolloutPolicy::new(0.1, 50.0)
    };
    let seeds = *matches.get_one::<u64>("seeds").expect("it has a default");
    let first = *matches.get_one::<u64>("first").expect("it has a default");
    let mut rows: IndexMap<&str, Row> = IndexMap::new();
    for seed in first..first + seeds {
        for is_bad in [false, true] {
            let scene = random_scenario(seed, is_bad, policy);
            let played = simulate(scene.clone());
            let name = behavior_name(scene.behavior);
            let is_odd = match scene.behavior {
                VersionBehavior::Good => {
                    played.end != Some(RolloutPhase::Completed) || played.end_fraction > 0.8
                }
                _ => played.end != Some(RolloutPhase::RolledBack),
            };
            let is_over = played.exposed_requests as f64 > played.max_exposure(&policy);
            let is_odd = is_odd || (is_over && is_bad) || played.late_sends > 0;
            if matches.get_flag("verbose") && (is_odd || played.wrong_sends > 0) {
                println!("{scene:?}\n  {played:?}");
            }
            rows.entry(name).or_default().add(&played, &policy);
        }
    }
    println!(
        "{:<20} {:>5} {:>7} {:>9} {:>7} {:>5} {:>5} {:>5} {:>9} {:>7} {:>8} {:>6}",
        "version",
        "seeds",
        "rolled",
        "completed",
        "in 0.8",
        "over",
        "late",
        "wrong",
        "unordered",
        "bad",
        "exposure",
        "end"
    );
    for (name, row) in &rows {
        let count = row.count as f64;
        println!(
            "{name:<20} {:>5} {:>7} {:>9} {:>7} {:>5} {:>5} {:>5} {:>9} {:>7.1} {:>8.2} {:>6.2}",
            row.count,
            row.rolled_back,
            row.completed,
            row.in_time,
            row.over_bound,
            row.late_runs,
            row.wrong_sends,
            row.sends_before_order,
            row.bad_answers as f64 / count,
            row.max_exposure_ratio,
            row.end_fraction_sum / count
        );
    }
}

impl Row {
    fn add(&mut self, played: &RolloutResult, policy: &RolloutPolicy) {
        let bound = played.max_exposure(policy);
        self.count += 1;
        self.rolled_back += u64::from(played.end == Some(RolloutPhase::RolledBack));
        let is_completed = played.end == Some(RolloutPhase::Completed);
        self.completed += u64::from(is_completed);
        self.in_time += u64::from(is_completed && played.end_fraction <= 0.8);
        self.over_bound += u64::from(played.exposed_requests as f64 > bound);
        self.late_runs += u64::from(played.late_sends > 0);
        self.wrong_sends += played.wrong_sends;
        self.sends_before_order += played.sends_before_order;
        self.bad_answers += played.bad_answers;
        self.max_exposure_ratio =
            self.max_exposure_ratio.max(played.exposed_requests as f64 / bound);
        self.end_fraction_sum += played.end_fraction;
    }
}
