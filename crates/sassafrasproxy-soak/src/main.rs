//! The soak's command line.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, Command, value_parser};
use sassafrasproxy_soak::{SoakSettings, run_soak};

#[tokio::main]
async fn main() -> ExitCode {
    let number = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_parser(value_parser!(u64)).default_value(default).help(help)
    };
    let binary = Arg::new("binary")
        .long("binary")
        .value_parser(value_parser!(PathBuf))
        .default_value("target/release/sassafrasproxy")
        .help("The program to soak");
    let matches = Command::new("sassafrasproxy-soak")
        .about("Play random faults on gateway processes and check what callers see")
        .args([
            number("seed", "1", "The first seed"),
            number("seeds", "1", "How many seeds, one after the other"),
            number("seconds", "10", "How long faults come, for each seed"),
            number("nodes", "4", "How many gateways"),
            binary,
        ])
        .get_matches();
    let value = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let Some(binary) = matches.get_one::<PathBuf>("binary") else { return ExitCode::FAILURE };
    let mut is_broken = false;
    for seed in value("seed")..value("seed") + value("seeds") {
        let nodes = value("nodes") as usize;
        let settings = SoakSettings { seed, duration_s: value("seconds"), gateway_count: nodes };
        match run_soak(binary, settings).await {
            Ok(report) => {
                println!(
                    "seed {seed}: {:?}, broken: {:#?}",
                    report.status_counts, report.violations
                );
                is_broken |= !report.violations.is_empty();
            }
            Err(error) => {
                println!("seed {seed}: {error:#}");
                is_broken = true;
            }
        }
    }
    if is_broken { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
