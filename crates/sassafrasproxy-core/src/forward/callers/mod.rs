//! Decisions about callers: which nodes they use, how much of their timeout has elapsed, and which
//! requests are refused.
//!
//! Callers ask the directory which nodes to use. The key of a request names its client account. The
//! deadline of a request shows how long ago its caller's timeout started. Requests that crash
//! replicas are quarantined. `NodeAdmission` decides which requests are started when there is less
//! room than requests, and `Drain` which ones a leaving node takes. A caller whose request is refused
//! receives a retry delay.

mod accounts;
mod admission;
mod caller_delays;
mod directory;
mod drain;
mod fleet_work;
mod ingress_set;
mod key_freshness;
mod node_admission;
mod request_quarantine;
mod retry_delay;

pub use self::accounts::{AccountTable, Authentication};
pub use self::admission::{Admission, admit};
pub use self::caller_delays::{CallerDeadline, CallerDelayEstimator};
pub use self::directory::{DirectoryNode, directory_addresses};
pub use self::drain::{Drain, DrainDecision, DrainRequest};
pub use self::fleet_work::{FleetWork, WorkMeter, WorkReport};
pub use self::ingress_set::{assumed_work_millis, ingress_nodes, mark_ingress_nodes, relay_nodes};
pub use self::key_freshness::{KeyFreshness, KeyLookup, KeyVerdict};
pub use self::node_admission::{
    AdmissionDecision, AdmissionId, AdmissionRefusal, AdmissionRequest, AdmissionStatus,
    ExtraSends, LoadLevel, NodeAdmission, RefusalCause,
};
pub use self::request_quarantine::{
    CrashReport, FingerprintedRequest, QuarantineDecision, QuarantineRecord, QuarantineRecords,
    QuarantineWrite, ReportStep, RequestFingerprints, RequestQuarantine, displaced_record,
    fingerprint_text,
};
pub use self::retry_delay::{retry_delay_ms, retry_delay_within_ms};
