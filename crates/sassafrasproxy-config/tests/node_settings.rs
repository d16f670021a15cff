//! Parsing and checking of a node's settings.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use sassafrasproxy_config::NodeSettings;

const VALID_SETTINGS: &str = "\
name: vm-1
failure_domain: galway-1
listen: 127.0.0.1:7001
peer_listen: 127.0.0.1:7002
platform: http://127.0.0.1:7000
seeds: [\"127.0.0.2:7002\"]
";

#[test]
fn accepts_valid_settings() {
    let settings = NodeSettings::parse("node.yaml", VALID_SETTINGS).unwrap();
    assert_eq!(settings.name, "vm-1");
    assert_eq!(settings.seeds, ["127.0.0.2:7002"]);
    assert_eq!(settings.address_keep_ms, 10_000);
}

/// The diagnostic of an invalid file names the line and the field and has a hint.
#[test]
fn rejects_invalid_settings() {
    let cases = [
        ("missing", VALID_SETTINGS.replace("name: vm-1\n", ""), 0, "name"),
        ("unknown", format!("{VALID_SETTINGS}colour: red\n"), 7, "colour"),
        ("empty", VALID_SETTINGS.replace("vm-1", "\"\""), 1, "`name`"),
        (
            "host name",
            VALID_SETTINGS.replace("listen: 127.0.0.1:7001", "listen: localhost:7001"),
            3,
            "listen",
        ),
        ("no port", VALID_SETTINGS.replace("127.0.0.1:7002", "127.0.0.1"), 4, "`peer_listen`"),
        ("no scheme", VALID_SETTINGS.replace("http://", ""), 5, "`platform`"),
        ("bad seed", VALID_SETTINGS.replace("127.0.0.2:7002", "peer"), 6, "`seeds`"),
        ("no keep time", format!("{VALID_SETTINGS}address_keep_ms: 0\n"), 7, "`address_keep_ms`"),
        ("text for number", format!("{VALID_SETTINGS}address_keep_ms: soon\n"), 7, "soon"),
        ("no YAML", "{".to_owned(), 1, ""),
    ];
    for (name, text, line, expected_text) in cases {
        let diagnostic = NodeSettings::parse("node.yaml", &text).unwrap_err();
        assert_eq!(diagnostic.file, "node.yaml", "{name}");
        assert!(line == 0 || diagnostic.line == line, "{name}: {diagnostic}");
        assert!(diagnostic.message.contains(expected_text), "{name}: {diagnostic}");
        assert!(!diagnostic.hint.is_empty(), "{name}");
    }
}
