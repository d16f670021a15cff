//! Taking changed settings in while the process runs.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use sassafrasproxy_config::GatewaySettings;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::time::sleep;

/// How often the file is read for changes that no signal tells of.
///
/// Settings bound budgets over ten seconds and more; two seconds are soon enough, at the cost
/// of one small file read.
const READ_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the settings again at each SIGHUP and now and then, for as long as the process runs.
///
/// A file that cannot be used leaves the settings in force. Addresses are taken at the start
/// only: a process keeps the sockets that it has.
pub async fn watch_settings_file(file: PathBuf, settings: watch::Sender<Arc<GatewaySettings>>) {
    let mut hangup = match signal(SignalKind::hangup()) {
        Ok(hangup) => hangup,
        Err(error) => return log::error!(error:%; "SIGHUP cannot be heard"),
    };
    // What was found bad is told once, not every two seconds.
    let mut last_bad = None;
    loop {
        let is_told = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(READ_INTERVAL) => false,
        };
        match GatewaySettings::load(&file) {
            Ok(read) => {
                last_bad = None;
                let is_changed = settings.send_if_modified(|known| {
                    let is_changed = **known != read;
                    if is_changed {
                        *known = Arc::new(read);
                    }
                    is_changed
                });
                if is_told || is_changed {
                    log::info!(is_told, is_changed; "settings were read again");
                }
            }
            Err(problem) if is_told || last_bad.as_ref() != Some(&problem) => {
                log::error!(problem:%; "the settings in force stay");
                last_bad = Some(problem);
            }
            Err(_) => {}
        }
    }
}
