//! Parsing and checking of a gateway's settings.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use sassafrasproxy_config::{AdmissionMode, GatewaySettings};

const VALID_SETTINGS: &str = "\
name: vm-1
failure_domain: galway-1
callers_listen: 127.0.0.1:8104
ready_listen: 127.0.0.1:8108
directory_listen: 127.0.0.1:8100
peer_listen: 127.0.0.1:8106
relay_listen: 127.0.0.1:7380
store: 127.0.0.1:8102
seeds: [\"127.0.0.2:8106\"]
cpu_share: 0.25
address_keep_ms: 1000
grace_ms: 6000
retry_budget: { ratio: 0.2, fixed: 56, window_ms: 10000 }
warmup: { factor: 1.5, slack: 5 }
";

#[test]
fn accepts_valid_settings() {
    let settings = GatewaySettings::parse("gateway.yaml", VALID_SETTINGS).unwrap();
    assert_eq!(settings.name, "vm-1");
    assert_eq!(settings.seeds.len(), 1);
    assert_eq!((settings.metrics_listen, settings.relay_advertise), (None, None));
    assert_eq!((settings.retry_budget.ratio, settings.warmup.slack), (0.2, 5.0));
}

/// Peers may reach a node at another address than the one that it listens on.
#[test]
fn reads_relay_advertise() {
    let text = format!("{VALID_SETTINGS}relay_advertise: 10.1.0.9:7380\n");
    let settings = GatewaySettings::parse("gateway.yaml", &text).unwrap();
    assert_eq!(settings.relay_advertise, Some("10.1.0.9:7380".parse().unwrap()));
}

/// Without the section there are no rollouts, and all versions of a service are treated alike.
#[test]
fn rollouts_section_is_optional() {
    let settings = GatewaySettings::parse("gateway.yaml", VALID_SETTINGS).unwrap();
    assert_eq!(settings.rollouts, None);
    let text = format!("{VALID_SETTINGS}rollouts: {{ exposure_share: 0.1, exposure_slack: 50 }}\n");
    let rollouts = GatewaySettings::parse("gateway.yaml", &text).unwrap().rollouts.unwrap();
    assert_eq!((rollouts.exposure_share, rollouts.exposure_slack), (0.1, 50.0));
}

#[test]
fn store_recovery_is_optional() {
    let settings = GatewaySettings::parse("gateway.yaml", VALID_SETTINGS).unwrap();
    assert_eq!(settings.store_recovery_ms, 4_000);
    let text = format!("{VALID_SETTINGS}store_recovery_ms: 8000\n");
    let settings = GatewaySettings::parse("gateway.yaml", &text).unwrap();
    assert_eq!(settings.store_recovery_ms, 8_000);
}

#[test]
fn admission_is_optional() {
    let settings = GatewaySettings::parse("gateway.yaml", VALID_SETTINGS).unwrap();
    assert_eq!(settings.admission, AdmissionMode::Single);
    let text = format!("{VALID_SETTINGS}admission: fair_share\n");
    let settings = GatewaySettings::parse("gateway.yaml", &text).unwrap();
    assert_eq!(settings.admission, AdmissionMode::FairShare);
}

/// Without the section, rate limits are not enforced.
#[test]
fn quota_section_is_optional() {
    let settings = GatewaySettings::parse("gateway.yaml", VALID_SETTINGS).unwrap();
    assert_eq!(settings.quota, None);
    let text = format!("{VALID_SETTINGS}quota: {{ window_ms: 5000, excess: 0.1, slack: 20 }}\n");
    let quota = GatewaySettings::parse("gateway.yaml", &text).unwrap().quota.unwrap();
    assert_eq!((quota.window_ms, quota.excess, quota.slack), (5_000, 0.1, 20.0));
}

/// Without the section, an unknown key is refused for good.
#[test]
fn accounts_section_is_optional() {
    let settings = GatewaySettings::parse("gateway.yaml", VALID_SETTINGS).unwrap();
    assert_eq!(settings.accounts, None);
    for (section, is_strict) in
        [("{ revoke_ms: 5000 }", false), ("{ revoke_ms: 5000, revoke_strict: true }", true)]
    {
        let text = format!("{VALID_SETTINGS}accounts: {section}\n");
        let accounts = GatewaySettings::parse("gateway.yaml", &text).unwrap().accounts.unwrap();
        assert_eq!((accounts.revoke_ms, accounts.revoke_strict), (5_000, is_strict));
    }
}

/// The diagnostic of an invalid file names the line and the field and says what to write instead.
#[test]
fn rejects_invalid_settings() {
    let cases = [
        ("missing", VALID_SETTINGS.replace("grace_ms: 6000\n", ""), 0, "grace_ms"),
        ("unknown", format!("{VALID_SETTINGS}colour: red\n"), 15, "colour"),
        ("empty", VALID_SETTINGS.replace("vm-1", "\"\""), 1, "`name`"),
        (
            "host name",
            VALID_SETTINGS.replace("127.0.0.1:8104", "localhost:8104"),
            3,
            "`callers_listen`",
        ),
        ("relay", format!("{VALID_SETTINGS}relay_advertise: there\n"), 15, "`relay_advertise`"),
        ("no port", VALID_SETTINGS.replace("127.0.0.1:8102", "127.0.0.1"), 8, "`store`"),
        ("bad seed", VALID_SETTINGS.replace("127.0.0.2:8106", "peer"), 9, "`seeds`"),
        ("negative share", VALID_SETTINGS.replace("0.25", "-1"), 10, "`cpu_share`"),
        ("no keep time", VALID_SETTINGS.replace("1000\n", "0\n"), 11, "`address_keep_ms`"),
        (
            "no time to catch up",
            format!("{VALID_SETTINGS}store_recovery_ms: 1000\n"),
            15,
            "`store_recovery_ms`",
        ),
        (
            "negative",
            VALID_SETTINGS.replace("ratio: 0.2", "ratio: -0.2"),
            13,
            "`retry_budget.ratio`",
        ),
        ("no window", VALID_SETTINGS.replace("10000", "0"), 13, "`retry_budget.window_ms`"),
        (
            "more than all",
            format!("{VALID_SETTINGS}rollouts: {{ exposure_share: 1.5, exposure_slack: 50 }}\n"),
            15,
            "`rollouts.exposure_share`",
        ),
        (
            "no quota window",
            format!("{VALID_SETTINGS}quota: {{ window_ms: 0, excess: 0.1, slack: 20 }}\n"),
            15,
            "`quota.window_ms`",
        ),
        (
            "negative excess",
            format!("{VALID_SETTINGS}quota: {{ window_ms: 5000, excess: -0.1, slack: 20 }}\n"),
            15,
            "`quota.excess`",
        ),
        (
            "slack not finite",
            format!("{VALID_SETTINGS}quota: {{ window_ms: 5000, excess: 0.1, slack: .inf }}\n"),
            15,
            "`quota.slack`",
        ),
        (
            "quota without slack",
            format!("{VALID_SETTINGS}quota: {{ window_ms: 5000, excess: 0.1 }}\n"),
            15,
            "slack",
        ),
        (
            "revoke time too short",
            format!("{VALID_SETTINGS}accounts: {{ revoke_ms: 999, revoke_strict: true }}\n"),
            15,
            "`accounts.revoke_ms`",
        ),
        (
            "revoke time over a day",
            format!("{VALID_SETTINGS}accounts: {{ revoke_ms: 86400001 }}\n"),
            15,
            "`accounts.revoke_ms`",
        ),
        (
            "no revoke time",
            format!("{VALID_SETTINGS}accounts: {{ revoke_strict: true }}\n"),
            0,
            "revoke_ms",
        ),
        ("not a number", VALID_SETTINGS.replace("slack: 5", "slack: .nan"), 14, "`warmup.slack`"),
    ];
    for (name, text, line, field) in cases {
        let diagnostic = GatewaySettings::parse("gateway.yaml", &text).unwrap_err();
        let message = diagnostic.to_string();
        assert!(message.contains(field), "{name}: {message}");
        assert!(message.contains("hint: "), "{name}: {message}");
        if line > 0 {
            assert_eq!(diagnostic.line, line, "{name}: {message}");
        }
    }
}

/// Guards against limits of answers that no answer can keep.
#[test]
fn answer_limits_are_checked() {
    let parse = |answers: &str| {
        GatewaySettings::parse("gateway.yaml", &format!("{VALID_SETTINGS}answers: {answers}\n"))
    };
    let defaults = GatewaySettings::parse("gateway.yaml", VALID_SETTINGS).unwrap().answers;
    assert!(defaults.max_bytes <= defaults.max_in_flight_bytes);
    let one = parse("{ max_bytes: 100000 }").unwrap().answers;
    assert_eq!(one.max_bytes, 100_000);
    assert_eq!(one.max_in_flight_bytes, defaults.max_in_flight_bytes);
    assert!(parse("{ max_bytes: 10 }").is_err());
    assert!(parse("{ max_bytes: 100000, max_in_flight_bytes: 50000 }").is_err());
    assert!(parse("{ max_byte: 100000 }").is_err());
}
