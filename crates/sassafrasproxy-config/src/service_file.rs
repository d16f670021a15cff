//! Service files, one a service, beside the service's code.

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

/// The ending of a service file's name.
pub const SERVICE_FILE_SUFFIX: &str = ".sassafras.yaml";

/// How deep directories are searched for service files.
const MAX_DIRECTORY_DEPTH: usize = 16;

/// What to do about a service file that cannot be read.
const SERVICE_FILE_HINT: &str = "compare it with the service file in docs/OPERATIONS.md";

/// A service as it stands in its file.
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

/// Collects the checks of one or more files.
#[derive(Debug, Default)]
struct ServiceFileChecker {
    diagnostics: Vec<Diagnostic>,
    services: IndexMap<EcoString, ServiceSpec>,
    /// The file that names each service first.
    file_by_service: IndexMap<EcoString, EcoString>,
    /// The file that names each upstream address first.
    file_by_address: IndexMap<EcoString, EcoString>,
}

/// Reads and checks every service file below some directories.
///
/// Returns the services by name, in the order of their files' names, or every problem found.
pub fn read_services(
    dirs: &[PathBuf],
) -> Result<IndexMap<EcoString, ServiceSpec>, Vec<Diagnostic>> {
    let mut checker = ServiceFileChecker::default();
    let mut files = Vec::new();
    for dir in dirs {
        if let Err(problem) = find_service_files(dir, MAX_DIRECTORY_DEPTH, &mut files) {
            checker.diagnostics.push(problem);
        }
    }
    files.sort();
    files.dedup();
    for file in &files {
        checker.read_file(file);
    }
    if files.is_empty() && checker.diagnostics.is_empty() {
        let dir = dirs.first().map_or_else(String::new, |dir| dir.display().to_string());
        let message = format!("no file ends in `{SERVICE_FILE_SUFFIX}`");
        let hint = "name a directory with service files, one a service";
        checker.diagnostics.push(Diagnostic::for_file(&dir, message, hint));
    }
    if checker.diagnostics.is_empty() { Ok(checker.services) } else { Err(checker.diagnostics) }
}

/// Checks what a node must be able to rely on, whoever published the configuration.
pub fn check_configuration(configuration: &Configuration) -> Result<(), EcoString> {
    let mut addresses = IndexSet::new();
    for service in configuration.services.values() {
        let name = &service.service;
        if service.upstreams.is_empty() || service.limits.slots == 0 || service.deadline_ms == 0 {
            return Err(eco_format!("service `{name}` lacks upstreams, slots or a deadline"));
        }
        for upstream in &service.upstreams {
            if upstream.address.parse::<SocketAddr>().is_err() || upstream.shards.is_empty() {
                return Err(eco_format!(
                    "service `{name}`: upstream `{}` is no address or has no shards",
                    upstream.address
                ));
            }
            if !addresses.insert(&upstream.address) {
                return Err(eco_format!("upstream `{}` stands twice", upstream.address));
            }
        }
        if let Some((kind, _)) =
            service.kinds.iter().find(|(_, spec)| spec.hedge && !spec.idempotent)
        {
            return Err(eco_format!(
                "service `{name}`: kind `{kind}` hedges but may run once only"
            ));
        }
    }
    Ok(())
}

/// Finds service files below a directory.
fn find_service_files(
    dir: &Path,
    depth: usize,
    files: &mut Vec<PathBuf>,
) -> Result<(), Diagnostic> {
    let problem = |error: std::io::Error| {
        let file = dir.display().to_string();
        Diagnostic::for_file(&file, error.to_string(), "name a directory that can be read")
    };
    for entry in std::fs::read_dir(dir).map_err(problem)? {
        let path = entry.map_err(problem)?.path();
        if path.is_dir() && depth > 0 {
            find_service_files(&path, depth - 1, files)?;
        } else if path.to_string_lossy().ends_with(SERVICE_FILE_SUFFIX) {
            files.push(path);
        }
    }
    Ok(())
}

impl ServiceFileChecker {
    /// Reads one file and adds its service or its problems.
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
            Err(problem) => self.diagnostics.push(problem),
        }
    }

    /// Checks one service and adds it.
    fn check_service(&mut self, file: &str, raw: &ServiceFile) {
        self.check_names(file, raw);
        self.check_limits(file, raw);
        self.check_kinds(file, raw);
        let domains: Vec<EcoString> =
            raw.failure_domains.value.iter().map(|domain| domain.value.clone()).collect();
        let upstreams = self.check_upstreams(file, raw, &domains);
        let limits = &raw.limits.value;
        let kind =
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
                .map(|(name, spec)| (name.clone(), kind(&spec.value)))
                .collect(),
        };
        self.services.insert(spec.service.clone(), spec);
    }

    /// Checks that the service's name is usable and its own.
    fn check_names(&mut self, file: &str, raw: &ServiceFile) {
        for (field, value) in [("service", &raw.service), ("index", &raw.index)] {
            let is_bad = value.value.trim().is_empty() || value.value.contains('/');
            if is_bad {
                let message = format!("`{field}` is `{}`", value.value);
                let hint = "give it a name without a slash";
                self.diagnostics.push(Diagnostic::at_location(
                    file,
                    value.referenced,
                    message,
                    hint,
                ));
            }
        }
        let name = &raw.service;
        if let Some(first) = self.file_by_service.get(&name.value) {
            let message = format!("service `{}` is also declared in {first}", name.value);
            let hint = "keep one of the two files, or rename one service";
            self.diagnostics.push(Diagnostic::at_location(file, name.referenced, message, hint));
            return;
        }
        self.file_by_service.insert(name.value.clone(), file.into());
    }

    /// Checks limits and deadline.
    fn check_limits(&mut self, file: &str, raw: &ServiceFile) {
        let limits = &raw.limits;
        let (slots, connections) = (limits.value.slots, limits.value.connections);
        if slots == 0 || connections < slots {
            let message = format!("`limits` has slots {slots} and connections {connections}");
            let hint = "use at least 1 slot and at least as many connections as slots";
            self.diagnostics.push(Diagnostic::at_location(file, limits.referenced, message, hint));
        }
        if raw.deadline_ms.value == 0 {
            let hint = "give the milliseconds that a request may take, as 90";
            let at = raw.deadline_ms.referenced;
            self.diagnostics.push(Diagnostic::at_location(file, at, "`deadline_ms` is 0", hint));
        }
    }

    /// Checks that only requests that may be repeated are hedged.
    fn check_kinds(&mut self, file: &str, raw: &ServiceFile) {
        if raw.kinds.value.is_empty() {
            let hint = "declare at least one kind, as `search: { idempotent: true }`";
            let at = raw.kinds.referenced;
            self.diagnostics.push(Diagnostic::at_location(file, at, "`kinds` is empty", hint));
        }
        for (name, kind) in &raw.kinds.value {
            if kind.value.hedge && !kind.value.idempotent {
                let message = format!("kind `{name}` has `hedge` but is not idempotent");
                let hint =
                    "drop `hedge`, or declare it idempotent if running it twice does no harm";
                self.diagnostics.push(Diagnostic::at_location(
                    file,
                    kind.referenced,
                    message,
                    hint,
                ));
            }
        }
    }

    /// Checks the replicas.
    fn check_upstreams(
        &mut self,
        file: &str,
        raw: &ServiceFile,
        domains: &[EcoString],
    ) -> Vec<UpstreamSpec> {
        if raw.upstreams.value.is_empty() {
            let hint = "name at least one replica";
            let at = raw.upstreams.referenced;
            self.diagnostics.push(Diagnostic::at_location(file, at, "`upstreams` is empty", hint));
        }
        for upstream in &raw.upstreams.value {
            self.check_upstream(file, upstream, domains);
        }
        let spec = |upstream: &UpstreamEntry| UpstreamSpec {
            address: upstream.address.value.clone(),
            failure_domain: upstream.failure_domain.value.clone(),
            shards: upstream.shards.value.iter().map(|shard| shard.value.clone()).collect(),
        };
        raw.upstreams.value.iter().map(spec).collect()
    }

    /// Checks one replica.
    fn check_upstream(&mut self, file: &str, upstream: &UpstreamEntry, domains: &[EcoString]) {
        let address = &upstream.address;
        if address.value.parse::<SocketAddr>().is_err() {
            let message = format!("upstream `{}` is no address", address.value);
            let hint = "write IP number and port, as 127.0.1.1:7101";
            self.diagnostics.push(Diagnostic::at_location(file, address.referenced, message, hint));
        }
        if let Some(first) = self.file_by_address.get(&address.value) {
            let message = format!("upstream `{}` is also named in {first}", address.value);
            let hint = "name each replica once; its slots have one owner";
            self.diagnostics.push(Diagnostic::at_location(file, address.referenced, message, hint));
        }
        self.file_by_address.insert(address.value.clone(), file.into());
        let domain = &upstream.failure_domain;
        if !domains.contains(&domain.value) {
            let message = format!("`failure_domain` `{}` is not declared", domain.value);
            let hint = "add it to this file's `failure_domains`, or mend its spelling";
            self.diagnostics.push(Diagnostic::at_location(file, domain.referenced, message, hint));
        }
        let mut seen = IndexSet::new();
        let is_bad = |shard: &Spanned<EcoString>| shard.value.trim().is_empty();
        let twice =
            upstream.shards.value.iter().find(|shard| is_bad(shard) || !seen.insert(&shard.value));
        if upstream.shards.value.is_empty() || twice.is_some() {
            let at = twice.map_or(upstream.shards.referenced, |shard| shard.referenced);
            let message = "`shards` is empty, or names one shard twice";
            let hint = "name each shard that the replica may hold once";
            self.diagnostics.push(Diagnostic::at_location(file, at, message, hint));
        }
    }
}
