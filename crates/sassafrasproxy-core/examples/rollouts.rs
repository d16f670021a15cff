//! Simulates rollouts of good and bad versions with the production state machines, and prints a
//! table of the results.

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

/// One row of the table: the results for one behavior of the new version.
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
    /// The greatest exposure, as a fraction of the bound.
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
        .arg(number("spread-part", "0.75"))
        .arg(number("permit-part", "0.9"))
        .arg(number("share-part", "0.3"))
        .arg(Arg::new("verbose").long("verbose").num_args(0))
        .get_matches();
    let fraction =
        |name: &str| *matches.get_one::<f64>(name).expect("the argument has a default value");
    let policy = RolloutPolicy {
        trial_fraction: fraction("trial-part"),
        permit_spread_factor: fraction("spread-part"),
        permit_fraction: fraction("permit-part"),
        canary_share_fraction: fraction("share-part"),
        ..RolloutPolicy::new(0.1, 50.0)
    };
    let seeds = *matches.get_one::<u64>("seeds").expect("the argument has a default value");
    let first = *matches.get_one::<u64>("first").expect("the argument has a default value");
    let mut rows: IndexMap<&str, Row> = IndexMap::new();
    for seed in first..first + seeds {
        for is_bad in [false, true] {
            let scenario = random_scenario(seed, is_bad, policy);
            let result = simulate(scenario.clone());
            let name = behavior_name(scenario.behavior);
            let is_unexpected = match scenario.behavior {
                VersionBehavior::Good => {
                    result.end != Some(RolloutPhase::Completed) || result.end_fraction > 0.8
                }
                _ => result.end != Some(RolloutPhase::RolledBack),
            };
            let is_over_bound = result.exposed_requests as f64 > result.max_exposure(&policy);
            let is_unexpected = is_unexpected || (is_over_bound && is_bad) || result.late_sends > 0;
            if matches.get_flag("verbose") && (is_unexpected || result.wrong_sends > 0) {
                println!("{scenario:?}\n  {result:?}");
            }
            rows.entry(name).or_default().add(&result, &policy);
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
    fn add(&mut self, result: &RolloutResult, policy: &RolloutPolicy) {
        let bound = result.max_exposure(policy);
        self.count += 1;
        self.rolled_back += u64::from(result.end == Some(RolloutPhase::RolledBack));
        let is_completed = result.end == Some(RolloutPhase::Completed);
        self.completed += u64::from(is_completed);
        self.in_time += u64::from(is_completed && result.end_fraction <= 0.8);
        self.over_bound += u64::from(result.exposed_requests as f64 > bound);
        self.late_runs += u64::from(result.late_sends > 0);
        self.wrong_sends += result.wrong_sends;
        self.sends_before_order += result.sends_before_order;
        self.bad_answers += result.bad_answers;
        self.max_exposure_ratio =
            self.max_exposure_ratio.max(result.exposed_requests as f64 / bound);
        self.end_fraction_sum += result.end_fraction;
    }
}
