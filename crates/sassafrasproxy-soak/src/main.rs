//! The command line of the soak test.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Arg, Command, value_parser};
use sassafrasproxy_soak::{SoakSettings, run_soak};

#[tokio::main]
async fn main() -> ExitCode {
    let number_arg = |name: &'static str, default: &'static str, help: &'static str| {
        Arg::new(name).long(name).value_parser(value_parser!(u64)).default_value(default).help(help)
    };
    let binary = Arg::new("binary")
        .long("binary")
        .value_parser(value_parser!(PathBuf))
        .default_value("target/release/sassafrasproxy")
        .help("The sassafrasproxy binary to test");
    let matches = Command::new("sassafrasproxy-soak")
        .about("Injects random faults into gateway processes and checks what callers see")
        .args([
            number_arg("seed", "1", "The first seed"),
            number_arg("seeds", "1", "The number of seeds to run, one after the other"),
            number_arg("seconds", "10", "How long faults are applied for each seed, in seconds"),
            number_arg("nodes", "4", "The number of gateways"),
            binary,
        ])
        .get_matches();
    let value = |name: &str| matches.get_one::<u64>(name).copied().unwrap_or(1);
    let Some(binary) = matches.get_one::<PathBuf>("binary") else { return ExitCode::FAILURE };
    let mut has_failed = false;
    for seed in value("seed")..value("seed") + value("seeds") {
        let gateway_count = value("nodes") as usize;
        let settings = SoakSettings { seed, duration_s: value("seconds"), gateway_count };
        match run_soak(binary, settings).await {
            Ok(report) => {
                println!(
                    "seed {seed}: {:?}, violations: {:#?}",
                    report.status_counts, report.violations
                );
                has_failed |= !report.violations.is_empty();
            }
            Err(error) => {
                println!("seed {seed}: the soak failed: {error:#}");
                has_failed = true;
            }
        }
    }
    if has_failed { ExitCode::FAILURE } else { ExitCode::SUCCESS }
}
