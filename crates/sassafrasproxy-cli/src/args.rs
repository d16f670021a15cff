//! Defines the commands and options of the command line.

use std::path::PathBuf;

use clap::builder::ValueParser;
use clap::{Arg, ArgAction, Command, value_parser};

/// The address of the node to ask when the command line names none.
const DEFAULT_NODE_ADDRESS: &str = "127.0.0.1:7001";

/// Returns the definition of the whole command line.
pub fn command() -> Command {
    Command::new("sassafrasproxy")
        .about("A query tier over sharded, replicated upstreams")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(
            "Exit codes: 0 done; 1 refused or failed; 2 the command line or a file is invalid; \
             3 the outcome is unknown, and the request may or may not have taken effect.",
        )
        .subcommand(
            Command::new("run")
                .about("Run a node until SIGTERM or SIGINT, then shut down gracefully")
                .arg(path_option("settings", "The node's settings file, in YAML").required(true)),
        )
        .subcommand(
            Command::new("gateway")
                .about("Run a gateway for opaque requests until SIGTERM or SIGINT")
                .arg(
                    path_option("settings", "The gateway's settings file, in YAML")
                        .env("SASSAFRASPROXY_CONFIG")
                        .required(true),
                ),
        )
        .subcommand(
            Command::new("check")
                .about("Check the service files in some directories and their subdirectories")
                .args([dirs_arg(), json_arg()]),
        )
        .subcommand(
            Command::new("publish")
                .about(
                    "Publish the service files in some directories and their subdirectories as \
                     the configuration",
                )
                .args([dirs_arg(), platform_arg(), publisher_arg(), json_arg()])
                .arg(number_option(
                    "expect",
                    "The revision that must be current; otherwise nothing is published",
                )),
        )
        .subcommand(domain_command())
        .subcommand(
            Command::new("status")
                .about("Show a node's members, homes, replicas and configuration")
                .args([node_arg(), json_arg()]),
        )
        .subcommand(
            Command::new("addresses")
                .about("Show the addresses that callers should use")
                .args([node_arg(), json_arg()])
                .arg(text_option(
                    "failure-domain",
                    "The caller's failure domain; its addresses are listed first",
                )),
        )
        .subcommand(query_command())
        .subcommand(timeline_command())
        .subcommand(
            Command::new("accounts")
                .about("Show the limits and the use of client accounts at gateways")
                .arg(
                    text_option(
                        "metrics",
                        "The metrics addresses of the gateways to ask, separated by commas",
                    )
                    .value_delimiter(',')
                    .required(true),
                )
                .arg(json_arg()),
        )
}

fn domain_command() -> Command {
    let name = Arg::new("name").required(true).value_name("NAME").help("The failure domain's name");
    Command::new("domain")
        .about("Take a failure domain out of service, bring it back, or list all failure domains")
        .subcommand_required(true)
        .subcommand(
            Command::new("out")
                .about("Take a failure domain out of service: it gets no new work")
                .args([name.clone(), platform_arg(), publisher_arg(), json_arg()]),
        )
        .subcommand(
            Command::new("in")
                .about("Bring a failure domain back into service: it gets work again")
                .args([name, platform_arg(), publisher_arg(), json_arg()]),
        )
        .subcommand(
            Command::new("list")
                .about("List the declared failure domains and whether each is in service")
                .args([platform_arg(), json_arg()]),
        )
}

fn query_command() -> Command {
    Command::new("query")
        .about("Send a query and print its answer and coverage")
        .arg(
            Arg::new("services")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .value_name("SERVICE")
                .help("The services to query; all must belong to the same index"),
        )
        .args([node_arg(), json_arg()])
        .arg(text_option("kind", "The kind of request").default_value("search"))
        .arg(text_option("body", "The request body, as JSON").default_value("{}"))
        .arg(text_option(
            "request-id",
            "The request id; identifies repeats of a non-idempotent request",
        ))
        .arg(number_option("deadline-ms", "The maximum time for the query, in milliseconds"))
        .arg(
            Arg::new("min-coverage")
                .long("min-coverage")
                .value_parser(value_parser!(f64))
                .default_value("0")
                .help("The minimum fraction of shards that the answer must cover, from 0 to 1"),
        )
}

fn timeline_command() -> Command {
    Command::new("timeline")
        .about("Show the events of all nodes, merged in time order")
        .arg(
            text_option(
                "nodes",
                "The addresses of the nodes to ask, separated by commas; all members that these \
                 nodes list are asked too",
            )
            .value_delimiter(',')
            .default_value(DEFAULT_NODE_ADDRESS),
        )
        .arg(text_option(
            "request",
            "Show only the events of this request id; with --logs, related lines from around that \
             time are shown too",
        ))
        .arg(
            Arg::new("logs")
                .long("logs")
                .num_args(1..)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Read gateway logs from these files instead of asking nodes"),
        )
        .arg(text_option("service", "Show only the events that name this service"))
        .arg(text_option("failure-domain", "Show only the events of nodes in this failure domain"))
        .arg(
            Arg::new("follow")
                .long("follow")
                .action(ArgAction::SetTrue)
                .help("Print new events until interrupted"),
        )
        .arg(json_arg())
}

fn dirs_arg() -> Arg {
    Arg::new("dirs")
        .required(true)
        .num_args(1..)
        .value_name("DIR")
        .value_parser(value_parser!(PathBuf))
        .help("Directories that contain service files (*.sassafras.yaml)")
}

fn platform_arg() -> Arg {
    text_option("platform", "The platform's base URL, for example http://127.0.0.1:7000")
        .required(true)
}

fn publisher_arg() -> Arg {
    text_option("by", "The publisher's name, shown to others whose change conflicts with this one")
}

fn node_arg() -> Arg {
    text_option("node", "The address of the node to ask").default_value(DEFAULT_NODE_ADDRESS)
}

fn json_arg() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print the result as JSON")
}

fn path_option(name: &'static str, help: &'static str) -> Arg {
    option(name, help, "FILE", value_parser!(PathBuf))
}

fn number_option(name: &'static str, help: &'static str) -> Arg {
    option(name, help, "N", value_parser!(u64).into())
}

fn text_option(name: &'static str, help: &'static str) -> Arg {
    option(name, help, "TEXT", value_parser!(String))
}

fn option(
    name: &'static str,
    help: &'static str,
    value_name: &'static str,
    parser: ValueParser,
) -> Arg {
    Arg::new(name).long(name).help(help).value_name(value_name).value_parser(parser)
}
