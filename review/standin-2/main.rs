//! Stand-ins of the users' platform for the scripts of this review, without dependencies: the store,
//! replicas as processes of their own, callers, and a runner of gateways on loopback addresses.

mod http;
mod json;
mod leaving_callers;
mod store;

use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args[1..] {
        ["replica", address, id, run_ms, on_close] => {
            let run_ms = run_ms.parse().unwrap();
            leaving_callers::run_replica(address, id, run_ms, on_close == "drops")
        }
        ["leaving-callers", binary, folder, record, trouble] => {
            leaving_callers::run(binary, folder, record, trouble != "0")
        }
        _ => {
            eprintln!("usage: standin-2 leaving-callers BINARY FOLDER RECORD TROUBLE");
            ExitCode::from(2)
        }
    }
}
