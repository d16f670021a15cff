//! Reloads the settings file while the process runs.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use sassafrasproxy_config::GatewaySettings;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::sleep;

/// The interval at which the file is read for changes without a signal.
///
/// Settings limit budgets over ten seconds or more, so that a delay of two seconds is acceptable;
/// it costs one read of a small file.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Reloads the settings at each SIGHUP and every [`READ_INTERVAL`] for as long as the process runs.
///
/// An invalid file leaves the settings unchanged. Changed addresses take effect at a restart only,
/// as the process keeps its sockets.
pub async fn watch_settings_file(file: PathBuf, settings: watch::Sender<Arc<GatewaySettings>>) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => {
            return log::error!(
                error:%;
                "cannot handle SIGHUP; changed settings take effect at a restart only"
            );
        }
    };
    // An unchanged problem is logged once, not at every read.
    let mut last_problem = None;
    loop {
        let is_requested = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(READ_INTERVAL) => false,
        };
        match GatewaySettings::load(&file) {
            Ok(loaded) => {
                last_problem = None;
                let is_changed = settings.send_if_modified(|active| {
                    let is_changed = **active != loaded;
                    if is_changed {
                        *active = Arc::new(loaded);
                    }
                    is_changed
                });
                if is_requested || is_changed {
                    log::info!(is_told = is_requested, is_changed; "reloaded the settings");
                }
            }
            Err(problem) if is_requested || last_problem.as_ref() != Some(&problem) => {
                log::error!(problem:%; "the settings file is invalid; keeping the active settings");
                last_problem = Some(problem);
            }
            Err(_) => {}
        }
    }
}
