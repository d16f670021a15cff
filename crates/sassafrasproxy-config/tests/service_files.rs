//! Reading and checking of service files.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::path::PathBuf;

use sassafrasproxy_config::{Diagnostic, read_services};
use tempfile::TempDir;

const VALID_SERVICE_FILE: &str = "\
service: art-archive
index: catalogue
failure_domains: [galway-1, galway-2]
upstreams:
  - { address: \"127.0.1.1:7101\", failure_domain: galway-1, shards: [s0, s1] }
  - { address: \"127.0.1.2:7101\", failure_domain: galway-2, shards: [s0, s1] }
limits: { slots: 2, connections: 25, queue: 64 }
deadline_ms: 90
kinds:
  search:  { idempotent: true, hedge: true }
  reorder: { idempotent: false }
";

/// Writes files to a temporary directory and reads the services in it.
fn read_service_files(files: &[(&str, &str)]) -> Result<Vec<String>, Vec<Diagnostic>> {
    let dir = TempDir::new().unwrap();
    for (name, text) in files {
        let path = dir.path().join(name);
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(path, text).unwrap();
    }
    let services = read_services(&[dir.path().to_owned()])?;
    Ok(services.keys().map(ToString::to_string).collect())
}

#[test]
fn accepts_valid_service_files() {
    let desk =
        VALID_SERVICE_FILE.replace("art-archive", "counter-desk").replace("127.0.1", "127.0.2");
    let files = [
        ("art/art.sassafras.yaml", VALID_SERVICE_FILE),
        ("desk/deep/desk.sassafras.yaml", desk.as_str()),
        ("desk/other.yaml", "not: ours"),
    ];
    assert_eq!(read_service_files(&files).unwrap(), ["art-archive", "counter-desk"]);
}

/// The diagnostic of an invalid file names the line and the wrong value and has a hint.
#[test]
fn rejects_invalid_service_file() {
    let cases = [
        ("unknown field", VALID_SERVICE_FILE.replace("index:", "colour: red\nindex:"), 2, "colour"),
        ("missing field", VALID_SERVICE_FILE.replace("deadline_ms: 90\n", ""), 0, "deadline_ms"),
        ("unknown in limits", VALID_SERVICE_FILE.replace("queue: 64", "queue: 64, x: 1"), 7, "x"),
        ("empty name", VALID_SERVICE_FILE.replace("art-archive", "\"\""), 1, "`service`"),
        (
            "slash in a name",
            VALID_SERVICE_FILE.replace("art-archive", "art/archive"),
            1,
            "art/archive",
        ),
        (
            "unknown domain",
            VALID_SERVICE_FILE.replace("domain: galway-2", "domain: galway-3"),
            6,
            "galway-3",
        ),
        (
            "host name",
            VALID_SERVICE_FILE.replace("127.0.1.2:7101", "archive:7101"),
            6,
            "archive:7101",
        ),
        (
            "duplicate address",
            VALID_SERVICE_FILE.replace("127.0.1.2", "127.0.1.1"),
            6,
            "127.0.1.1:7101",
        ),
        ("no shards", VALID_SERVICE_FILE.replacen("[s0, s1]", "[]", 1), 5, "shards"),
        ("shard twice", VALID_SERVICE_FILE.replacen("[s0, s1]", "[s0, s0]", 1), 5, "shards"),
        ("no slots", VALID_SERVICE_FILE.replace("slots: 2", "slots: 0"), 7, "slots"),
        (
            "few connections",
            VALID_SERVICE_FILE.replace("connections: 25", "connections: 1"),
            7,
            "connections 1",
        ),
        (
            "no deadline",
            VALID_SERVICE_FILE.replace("deadline_ms: 90", "deadline_ms: 0"),
            8,
            "deadline_ms",
        ),
        (
            "hedged reorder",
            VALID_SERVICE_FILE
                .replace("{ idempotent: false }", "{ idempotent: false, hedge: true }"),
            11,
            "reorder",
        ),
        ("kind twice", VALID_SERVICE_FILE.replace("reorder:", "search:"), 11, "search"),
        ("no YAML", "service: [".to_owned(), 1, ""),
    ];
    for (name, text, line, expected_text) in cases {
        let diagnostics = read_service_files(&[("art.sassafras.yaml", &text)]).unwrap_err();
        assert_eq!(diagnostics.len(), 1, "{name}: {diagnostics:?}");
        let diagnostic = &diagnostics[0];
        assert!(diagnostic.file.ends_with("art.sassafras.yaml"), "{name}");
        assert!(line == 0 || diagnostic.line == line, "{name}: {diagnostic}");
        assert!(diagnostic.message.contains(expected_text), "{name}: {diagnostic}");
        assert!(!diagnostic.hint.is_empty(), "{name}");
    }
}

#[test]
fn rejects_duplicates_across_files() {
    let other_address = VALID_SERVICE_FILE.replace("127.0.1", "127.0.2");
    let files =
        [("a.sassafras.yaml", VALID_SERVICE_FILE), ("b.sassafras.yaml", other_address.as_str())];
    let diagnostics = read_service_files(&files).unwrap_err();
    assert!(diagnostics[0].message.contains("also declared in"), "{}", diagnostics[0]);

    let other_name = VALID_SERVICE_FILE.replace("art-archive", "counter-desk");
    let files =
        [("a.sassafras.yaml", VALID_SERVICE_FILE), ("b.sassafras.yaml", other_name.as_str())];
    let diagnostics = read_service_files(&files).unwrap_err();
    assert_eq!(diagnostics.len(), 2, "one diagnostic for each of the two addresses");
}

#[test]
fn rejects_directory_without_service_files() {
    assert!(read_service_files(&[("readme.txt", "")]).is_err());
    assert!(read_services(&[PathBuf::from("no-such-directory")]).is_err());
}
