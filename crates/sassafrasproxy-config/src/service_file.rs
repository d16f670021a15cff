//! Service files: one file for each service, kept with the service's code.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use ecow::{EcoString, eco_format};
use indexmap::{IndexMap, IndexSet};
use sassafrasproxy_wire::{
    Configuration, ReplicaLimits, RequestKindSpec, ServiceSpec, UpstreamSpec,
};
use serde::Deserialize;
use serde_saphyr::Spanned;

use crate::Diagnostic;
use crate::diagnostic::read_yaml;

/// The suffix of a service file's name.
pub const SERVICE_FILE_SUFFIX: &str = ".sassafras.yaml";

/// The maximum depth of subdirectories that are searched for service files.
const MAX_DIRECTORY_DEPTH: usize = 16;

/// The hint for a service file that cannot be parsed.
const SERVICE_FILE_HINT: &str = "compare it with the service file in docs/OPERATIONS.md";

/// A service as written in its file, before it is checked.
#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceFile {
    service: Spanned<EcoString>,
    index: Spanned<EcoString>,
    failure_domains: Spanned<Vec<Spanned<EcoString>>>,
    upstreams: Spanned<Vec<UpstreamEntry>>,
    limits: Spanned<LimitsEntry>,
    deadline_ms: Spanned<u64>,
    kinds: Spanned<IndexMap<EcoString, Spanned<KindEntry>>>,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct UpstreamEntry {
    address: Spanned<EcoString>,
    failure_domain: Spanned<EcoString>,
    shards: Spanned<Vec<Spanned<EcoString>>>,
}

#[derive(Debug)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct LimitsEntry {
    slots: u32,
    connections: u32,
    queue: u32,
}

#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct KindEntry {
    idempotent: bool,
    #[serde(default)]
    hedge: bool,
}

/// Checks service files and collects their services and diagnostics.
#[derive(Debug, Default)]
struct ServiceFileChecker {
    diagnostics: Vec<Diagnostic>,
    services: IndexMap<EcoString, ServiceSpec>,
    /// The file that first declares each service.
    file_by_service: IndexMap<EcoString, EcoString>,
    /// The file that last listed each upstream address.
    file_by_address: IndexMap<EcoString, EcoString>,
}

/// Reads and checks every service file in directories and their subdirectories.
///
/// Returns the services by name, in the order of their files' paths. Returns the diagnostics of
/// all files if a directory or file cannot be read, a file is invalid, or there is no file.
pub fn read_services(
    dirs: &[PathBuf],
) -> Result<IndexMap<EcoString, ServiceSpec>, Vec<Diagnostic>> {
    let mut checker = ServiceFileChecker::default();
    let mut files = Vec::new();
    for dir in dirs {
        if let Err(diagnostic) = find_service_files(dir, MAX_DIRECTORY_DEPTH, &mut files) {
            checker.diagnostics.push(diagnostic);
        }
    }
    files.sort();
    files.dedup();
    for file in &files {
        checker.read_file(file);
    }
    if files.is_empty() && checker.diagnostics.is_empty() {
        let dir = dirs.first().map_or_else(String::new, |dir| dir.display().to_string());
        let message = format!("no file name ends in `{SERVICE_FILE_SUFFIX}`");
        let hint = "give a directory that contains service files";
        checker.diagnostics.push(Diagnostic::for_file(&dir, message, hint));
    }
    if checker.diagnostics.is_empty() { Ok(checker.services) } else { Err(checker.diagnostics) }
}

/// Checks the rules that a node relies on, whichever tool published the configuration.
///
/// Returns a description of the first broken rule as the error.
pub fn check_configuration(configuration: &Configuration) -> Result<(), EcoString> {
    let mut addresses = IndexSet::new();
    for service in configuration.services.values() {
        let name = &service.service;
        if service.upstreams.is_empty() || service.limits.slots == 0 || service.deadline_ms == 0 {
            return Err(eco_format!("service `{name}` has no upstreams, no slots or no deadline"));
        }
        for upstream in &service.upstreams {
            if upstream.address.parse::<SocketAddr>().is_err() || upstream.shards.is_empty() {
                return Err(eco_format!(
                    "service `{name}`: upstream `{}` is not an IP address with a port, or has no \
                     shards",
                    upstream.address
                ));
            }
            if !addresses.insert(&upstream.address) {
                return Err(eco_format!("upstream `{}` is listed twice", upstream.address));
            }
        }
        if let Some((kind, _)) =
            service.kinds.iter().find(|(_, spec)| spec.hedge && !spec.idempotent)
        {
            return Err(eco_format!(
                "service `{name}`: kind `{kind}` has `hedge` but is not idempotent"
            ));
        }
    }
    Ok(())
}

/// Adds the service files in a directory and in up to `remaining_depth` levels of subdirectories to
/// `files`.
///
/// Returns a diagnostic if a directory cannot be read.
fn find_service_files(
    dir: &Path,
    remaining_depth: usize,
    files: &mut Vec<PathBuf>,
) -> Result<(), Diagnostic> {
    let to_diagnostic = |error: std::io::Error| {
        let file = dir.display().to_string();
        Diagnostic::for_file(&file, error.to_string(), "give the path of a readable directory")
    };
    for entry in std::fs::read_dir(dir).map_err(to_diagnostic)? {
        let path = entry.map_err(to_diagnostic)?.path();
        if path.is_dir() && remaining_depth > 0 {
            find_service_files(&path, remaining_depth - 1, files)?;
        } else if path.to_string_lossy().ends_with(SERVICE_FILE_SUFFIX) {
            files.push(path);
        }
    }
    Ok(())
}

impl ServiceFileChecker {
    /// Reads one file and records its service and its diagnostics.
    fn read_file(&mut self, path: &Path) {
        let file = path.display().to_string();
        let text = match std::fs::read_to_string(path) {
            Ok(text) => text,
            Err(error) => {
                let hint = "make the file readable";
                return self.diagnostics.push(Diagnostic::for_file(&file, error.to_string(), hint));
            }
        };
        match read_yaml::<ServiceFile>(&file, &text, SERVICE_FILE_HINT) {
            Ok(raw) => self.check_service(&file, &raw),
            Err(diagnostic) => self.diagnostics.push(diagnostic),
        }
    }

    /// Checks one service and records it, with a diagnostic for each problem.
    fn check_service(&mut self, file: &str, raw: &ServiceFile) {
        self.check_names(file, raw);
        self.check_limits(file, raw);
        self.check_kinds(file, raw);
        let domains: Vec<EcoString> =
            raw.failure_domains.value.iter().map(|domain| domain.value.clone()).collect();
        let upstreams = self.check_upstreams(file, raw, &domains);
        let limits = &raw.limits.value;
        let to_kind_spec =
            |kind: &KindEntry| RequestKindSpec { idempotent: kind.idempotent, hedge: kind.hedge };
        let spec = ServiceSpec {
            service: raw.service.value.clone(),
            index: raw.index.value.clone(),
            failure_domains: domains,
            upstreams,
            limits: ReplicaLimits {
                slots: limits.slots,
                connections: limits.connections,
                queue: limits.queue,
            },
            deadline_ms: raw.deadline_ms.value,
            kinds: raw
                .kinds
                .value
                .iter()
                .map(|(name, spec)| (name.clone(), to_kind_spec(&spec.value)))
                .collect(),
        };
        self.services.insert(spec.service.clone(), spec);
    }

    /// Checks that the names of service and index are valid and that no other file declares the
    /// service.
    fn check_names(&mut self, file: &str, raw: &ServiceFile) {
        for (field, value) in [("service", &raw.service), ("index", &raw.index)] {
            let is_invalid = value.value.trim().is_empty() || value.value.contains('/');
            if is_invalid {
                let message =
                    format!("`{field}` is `{}`, which is blank or has a slash", value.value);
                let hint = "use a name that is not blank and has no slash";
                self.diagnostics.push(Diagnostic::at_location(
                    file,
                    value.referenced,
                    message,
                    hint,
                ));
            }
        }
        let name = &raw.service;
        if let Some(other_file) = self.file_by_service.get(&name.value) {
            let message = format!("service `{}` is also declared in {other_file}", name.value);
            let hint = "keep one of the two files, or rename one service";
            self.diagnostics.push(Diagnostic::at_location(file, name.referenced, message, hint));
            return;
        }
        self.file_by_service.insert(name.value.clone(), file.into());
    }

    /// Checks the limits and the deadline.
    fn check_limits(&mut self, file: &str, raw: &ServiceFile) {
        let limits = &raw.limits;
        let (slots, connections) = (limits.value.slots, limits.value.connections);
        if slots == 0 || connections < slots {
            let message = format!("`limits` has slots {slots} and connections {connections}");
            let hint = "use at least 1 slot, and at least as many connections as slots";
            self.diagnostics.push(Diagnostic::at_location(file, limits.referenced, message, hint));
        }
        if raw.deadline_ms.value == 0 {
            let hint = "set the time that a request may take in milliseconds, such as 90";
            let at = raw.deadline_ms.referenced;
            self.diagnostics.push(Diagnostic::at_location(file, at, "`deadline_ms` is 0", hint));
        }
    }

    /// Checks that there is a kind and that only idempotent kinds are hedged.
    fn check_kinds(&mut self, file: &str, raw: &ServiceFile) {
        if raw.kinds.value.is_empty() {
            let hint = "declare at least one kind, such as `search: { idempotent: true }`";
            let at = raw.kinds.referenced;
            self.diagnostics.push(Diagnostic::at_location(file, at, "`kinds` is empty", hint));
        }
        for (name, kind) in &raw.kinds.value {
            if kind.value.hedge && !kind.value.idempotent {
                let message = format!("kind `{name}` has `hedge` but is not idempotent");
                let hint =
                    "remove `hedge`, or declare it idempotent if running it twice does no harm";
                self.diagnostics.push(Diagnostic::at_location(
                    file,
                    kind.referenced,
                    message,
                    hint,
                ));
            }
        }
    }

    /// Checks the replicas and returns their specifications.
    fn check_upstreams(
        &mut self,
        file: &str,
        raw: &ServiceFile,
        domains: &[EcoString],
    ) -> Vec<UpstreamSpec> {
        if raw.upstreams.value.is_empty() {
            let hint = "list at least one replica";
            let at = raw.upstreams.referenced;
            self.diagnostics.push(Diagnostic::at_location(file, at, "`upstreams` is empty", hint));
        }
        for upstream in &raw.upstreams.value {
            self.check_upstream(file, upstream, domains);
        }
        let to_spec = |upstream: &UpstreamEntry| UpstreamSpec {
            address: upstream.address.value.clone(),
            failure_domain: upstream.failure_domain.value.clone(),
            shards: upstream.shards.value.iter().map(|shard| shard.value.clone()).collect(),
        };
        raw.upstreams.value.iter().map(to_spec).collect()
    }

    /// Checks the address, failure domain and shards of one replica.
    fn check_upstream(&mut self, file: &str, upstream: &UpstreamEntry, domains: &[EcoString]) {
        let address = &upstream.address;
        if address.value.parse::<SocketAddr>().is_err() {
            let message = format!("upstream `{}` is not an IP address with a port", address.value);
            let hint = "write an IP address and a port, such as 127.0.1.1:7101";
            self.diagnostics.push(Diagnostic::at_location(file, address.referenced, message, hint));
        }
        if let Some(other_file) = self.file_by_address.get(&address.value) {
            let message = format!("upstream `{}` is also listed in {other_file}", address.value);
            let hint = "list each replica once, because a single scheduler must own its slots";
            self.diagnostics.push(Diagnostic::at_location(file, address.referenced, message, hint));
        }
        self.file_by_address.insert(address.value.clone(), file.into());
        let domain = &upstream.failure_domain;
        if !domains.contains(&domain.value) {
            let message =
                format!("`failure_domain` `{}` is not declared in this file", domain.value);
            let hint = "add it to `failure_domains`, or correct its spelling";
            self.diagnostics.push(Diagnostic::at_location(file, domain.referenced, message, hint));
        }
        let mut seen = IndexSet::new();
        let is_blank = |shard: &Spanned<EcoString>| shard.value.trim().is_empty();
        let invalid_shard = upstream
            .shards
            .value
            .iter()
            .find(|shard| is_blank(shard) || !seen.insert(&shard.value));
        if upstream.shards.value.is_empty() || invalid_shard.is_some() {
            let at = invalid_shard.map_or(upstream.shards.referenced, |shard| shard.referenced);
            let message = "`shards` is empty, has a blank name, or lists a shard twice";
            let hint = "list each shard that the replica may hold, once";
            self.diagnostics.push(Diagnostic::at_location(file, at, message, hint));
        }
    }
}
