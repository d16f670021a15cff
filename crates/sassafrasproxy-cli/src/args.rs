//! The words of the command line.

use std::path::PathBuf;

use clap::builder::ValueParser;
use clap::{Arg, ArgAction, Command, value_parser};

/// The address of a node when none is named.
const DEFAULT_NODE: &str = "127.0.0.1:7001";

/// The whole command line.
pub fn command() -> Command {
    Command::new("sassafrasproxy")
        .about("A query tier over sharded, replicated upstreams")
        .version(clap::crate_version!())
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help("Exit codes: 0 done, 1 refused, 2 usage, 3 unknown outcome.")
        .subcommand(
            Command::new("run")
                .about("Run a node until SIGTERM or SIGINT, then shut down gracefully")
                .arg(path("settings", "The node's settings file, in YAML").required(true)),
        )
        .subcommand(
            Command::new("gateway")
                .about("Run a gateway for opaque requests until SIGTERM or SIGINT")
                .arg(
                    path("settings", "The gateway's settings file, in YAML")
                        .env("SASSAFRASPROXY_CONFIG")
                        .required(true),
                ),
        )
        .subcommand(
            Command::new("check")
                .about("Check the service files below some directories")
                .args([dirs(), json()]),
        )
        .subcommand(
            Command::new("publish")
                .about("Publish all service files below some directories as the configuration")
                .args([dirs(), platform(), by(), json()])
                .arg(number("expect", "The revision that must be in place")),
        )
        .subcommand(domain())
        .subcommand(
            Command::new("status")
                .about("Show a node's members, homes, replicas and configuration")
                .args([node(), json()]),
        )
        .subcommand(
            Command::new("addresses")
                .about("Show the addresses that callers should use")
                .args([node(), json()])
                .arg(text("failure-domain", "The caller's failure domain")),
        )
        .subcommand(query())
        .subcommand(timeline())
}

fn domain() -> Command {
    let name = Arg::new("name").required(true).value_name("NAME").help("The failure domain's name");
    Command::new("domain")
        .about("Take a failure domain out, bring it back, or list all")
        .subcommand_required(true)
        .subcommand(Command::new("out").about("Give a failure domain no new work").args([
            name.clone(),
            platform(),
            by(),
            json(),
        ]))
        .subcommand(Command::new("in").about("Give a failure domain work again").args([
            name,
            platform(),
            by(),
            json(),
        ]))
        .subcommand(
            Command::new("list")
                .about("List the failure domains that services declare")
                .args([platform(), json()]),
        )
}

fn query() -> Command {
    Command::new("query")
        .about("Send a query and print its answer with what it covers")
        .arg(
            Arg::new("services")
                .required(true)
                .action(ArgAction::Append)
                .num_args(1..)
                .value_name("SERVICE")
                .help("The services to ask, all of one index"),
        )
        .args([node(), json()])
        .arg(text("kind", "The kind of request").default_value("search"))
        .arg(text("body", "The body, as JSON").default_value("{}"))
        .arg(text("request-id", "The request id; the key of a non-idempotent request"))
        .arg(number("deadline-ms", "The time that the query may take, in milliseconds"))
        .arg(
            Arg::new("min-coverage")
                .long("min-coverage")
                .value_parser(value_parser!(f64))
                .default_value("0")
                .help("The least fraction of shards to be covered, 0 to 1"),
        )
}

fn timeline() -> Command {
    Command::new("timeline")
        .about("Show the events of all nodes in one order")
        .arg(
            text("nodes", "Nodes to ask, by address; their members are asked too")
                .value_delimiter(',')
                .default_value(DEFAULT_NODE),
        )
        .arg(text("request", "Only the events of a request id"))
        .arg(
            Arg::new("logs")
                .long("logs")
                .num_args(1..)
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("Read the logs of gateways from files instead of asking nodes"),
        )
        .arg(text("service", "Only the events that name a service"))
        .arg(text("failure-domain", "Only the events of nodes in a failure domain"))
        .arg(Arg::new("follow").long("follow").action(ArgAction::SetTrue).help("Go on until ended"))
        .arg(json())
}

fn dirs() -> Arg {
    Arg::new("dirs")
        .required(true)
        .num_args(1..)
        .value_name("DIR")
        .value_parser(value_parser!(PathBuf))
        .help("Directories with files that end in .sassafras.yaml")
}

fn platform() -> Arg {
    text("platform", "The platform's base URL, as http://127.0.0.1:7000").required(true)
}

fn by() -> Arg {
    text("by", "Who publishes, for those who lose a race")
}

fn node() -> Arg {
    text("node", "The node to ask, by address").default_value(DEFAULT_NODE)
}

fn json() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("Print JSON")
}

fn path(name: &'static str, help: &'static str) -> Arg {
    option(name, help, "FILE", value_parser!(PathBuf))
}

fn number(name: &'static str, help: &'static str) -> Arg {
    option(name, help, "N", value_parser!(u64).into())
}

fn text(name: &'static str, help: &'static str) -> Arg {
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
