//! Service files, settings of nodes and gateways, and the publishing of configurations.

mod chunks;
mod diagnostic;
mod gateway_settings;
mod node_settings;
mod publisher;
mod service_file;
mod setting_checks;

pub use self::chunks::{
    AssembleError, Chunk, HEAD_KEY, assemble_configuration, chunk_key, chunk_services, parse_head,
};
pub use self::diagnostic::Diagnostic;
pub use self::gateway_settings::{
    AccountSettings, AdmissionMode, AnswerSettings, GatewaySettings, QuotaSettings,
    RetryBudgetSettings, RolloutSettings, WarmupSettings,
};
pub use self::node_settings::NodeSettings;
pub use self::publisher::{
    ConfigurationChange, PublishEvent, PublishOutcome, PublishRequest, PublishStep, Publisher,
    diff_configurations,
};
pub use self::service_file::{SERVICE_FILE_SUFFIX, check_configuration, read_services};
