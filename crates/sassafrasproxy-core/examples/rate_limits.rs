//! Simulates rate limits of client accounts over many nodes, and prints a table of the results.

#[path = "../tests/rate_limit_model/mod.rs"]
mod rate_limit_model;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use clap::{Arg, Command, value_parser};
use indexmap::IndexMap;

use crate::rate_limit_model::{
    DAY_OF_UNKNOWN_NODES, DAYS, SimulationResult, Way, false_refusal_fraction, random_scenario,
    simulate,
};

/// The number of threads that simulate.
const THREADS: usize = 4;

/// The numbers of nodes and of accounts that are simulated.
const SIZES: [usize; 3] = [6, 30, 300];
const ACCOUNTS: [usize; 4] = [1, 10, 100, 1_000];

/// One row of the table: the results of one kind of day.
#[derive(Default)]
struct Row {
    sum: SimulationResult,
    runs: u64,
    /// The runs in which a window was over the bound.
    over_bound: u64,
    worst_refusals: f64,
}

fn main() {
    let number = |name: &'static str, default: &'static str| {
        Arg::new(name).long(name).default_value(default).value_parser(value_parser!(u64))
    };
    let matches = Command::new("rate_limits")
        .arg(number("seeds", "60"))
        .arg(number("first", "1"))
        .arg(number("nodes", "0").help("only this number of nodes"))
        .arg(number("accounts", "0").help("only this number of accounts"))
        .arg(Arg::new("day").long("day"))
        .arg(
            Arg::new("way")
                .long("way")
                .default_value("exchange")
                .value_parser(["exchange", "equal", "home"]),
        )
        .arg(Arg::new("verbose").long("verbose").num_args(0))
        .get_matches();
    let number = |name: &str| *matches.get_one::<u64>(name).expect("the argument has a default");
    let way = match matches.get_one::<String>("way").map(String::as_str) {
        Some("equal") => Way::EqualShares,
        Some("home") => Way::Home,
        _ => Way::Exchange,
    };
    let (first, end) = (number("first"), number("first") + number("seeds"));
    let (nodes, accounts) = (number("nodes") as usize, number("accounts") as usize);
    let only_day = matches.get_one::<String>("day");
    let all_days = || DAYS.into_iter().chain([DAY_OF_UNKNOWN_NODES]);
    let days: Vec<&str> = all_days().collect();
    let next = AtomicU64::new(first);
    let rows: Mutex<IndexMap<(usize, &str), Row>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= end {
                        break;
                    }
                    // A seed stands for one size, day and number of accounts.
                    let pick = seed as usize;
                    let day = only_day
                        .and_then(|name| all_days().find(|day| day == name))
                        .unwrap_or(days[pick % days.len()]);
                    let size =
                        if nodes > 0 { nodes } else { SIZES[pick / days.len() % SIZES.len()] };
                    let count = match accounts {
                        0 => ACCOUNTS[pick / days.len() / SIZES.len() % ACCOUNTS.len()],
                        _ => accounts,
                    };
                    let result = simulate(random_scenario(seed, size, count, day), way);
                    let refusals = false_refusal_fraction(&result);
                    let is_odd = result.max_bound_ratio > 1.0 || refusals > 0.005;
                    if matches.get_flag("verbose") && is_odd {
                        println!("seed {seed}, {size} nodes, {count} accounts, {day}: {result:?}");
                    }
                    let mut rows = rows.lock().unwrap_or_else(PoisonError::into_inner);
                    rows.entry((size, day)).or_default().add(&result, refusals);
                }
            });
        }
    });
    let mut rows = rows.into_inner().unwrap_or_else(PoisonError::into_inner);
    rows.sort_unstable_keys();
    println!(
        "{:>5} {:<14} {:>4} {:>5} {:>7} {:>7} {:>8} {:>8} {:>6} {:>8} {:>7} {:>7} {:>8} {:>8}",
        "nodes",
        "day",
        "runs",
        "over",
        "bound",
        "limit",
        "refused",
        "worst",
        "hot",
        "mean ms",
        "waited",
        "max ms",
        "dgram/s",
        "byte/s"
    );
    for ((size, day), row) in &rows {
        let sum = &row.sum;
        let admitted = (sum.below_limit - sum.false_refusals).max(1) as f64;
        println!(
            "{size:>5} {day:<14} {:>4} {:>5} {:>7.3} {:>7.3} {:>8.5} {:>8.5} {:>6.3} {:>8.3} \
             {:>7.4} {:>7.1} {:>8.1} {:>8.0}",
            row.runs,
            row.over_bound,
            sum.max_bound_ratio,
            sum.max_limit_ratio,
            false_refusal_fraction(sum),
            row.worst_refusals,
            sum.hot_admitted as f64 / sum.hot_allowed.max(1.0),
            sum.wait_us as f64 / 1e3 / admitted,
            sum.waited as f64 / admitted,
            sum.max_wait_us as f64 / 1e3,
            sum.datagrams as f64 / sum.node_seconds,
            sum.bytes as f64 / sum.node_seconds
        );
    }
}

impl Row {
    fn add(&mut self, result: &SimulationResult, refusals: f64) {
        let sum = &mut self.sum;
        self.runs += 1;
        self.over_bound += u64::from(result.max_bound_ratio > 1.0);
        self.worst_refusals = self.worst_refusals.max(refusals);
        sum.below_limit += result.below_limit;
        sum.false_refusals += result.false_refusals;
        sum.hot_admitted += result.hot_admitted;
        sum.hot_allowed += result.hot_allowed;
        sum.max_bound_ratio = sum.max_bound_ratio.max(result.max_bound_ratio);
        sum.max_limit_ratio = sum.max_limit_ratio.max(result.max_limit_ratio);
        sum.admitted += result.admitted;
        sum.waited += result.waited;
        sum.wait_us += result.wait_us;
        sum.max_wait_us = sum.max_wait_us.max(result.max_wait_us);
        sum.datagrams += result.datagrams;
        sum.bytes += result.bytes;
        sum.node_seconds += result.node_seconds;
    }
}
