//! Stand-ins of the users' platform for the scripts of this review, without dependencies: the store,
//! replicas as processes of their own, callers, and a runner of gateways on loopback addresses.

mod crashing_request;
mod http;
mod json;
mod store;

use std::process::ExitCode;

use crashing_request::Scenario;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args[1..] {
        ["replica", address, id, run_ms, on_close] => {
            let run_ms = run_ms.parse().unwrap();
            crashing_request::run_replica(address, id, run_ms, on_close == "drops")
        }
        ["leaving-callers", binary, folder, record, trouble] => {
            crashing_request::run(Scenario::CallersLeave, binary, folder, record, trouble != "0")
        }
        ["killed-fleet", binary, folder, record, trouble] => {
            crashing_request::run(Scenario::FleetIsKilled, binary, folder, record, trouble != "0")
        }
        _ => {
            eprintln!("usage: standin-2 leaving-callers|killed-fleet BINARY FOLDER RECORD TROUBLE");
            ExitCode::from(2)
        }
    }
}
