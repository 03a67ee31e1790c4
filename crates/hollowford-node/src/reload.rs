//! Reloads the settings file on SIGHUP and at regular intervals.

use crate::shared::Shared;
use hollowford_adapter::NodeSettings;
use std::sync::Arc;
use std::time::Duration;
use tokio::signal::unix::Signal;
use tokio::time::timeout;

/// Interval at which the settings file is read without a signal.
const READ_INTERVAL: Duration = Duration::from_secs(5);

/// Reads the settings file repeatedly and publishes changes. Addresses stay as they were at the
/// start; the time limits for scheduling decisions take effect at once.
pub async fn follow_settings(shared: Arc<Shared>, mut hup: Signal) {
    loop {
        let signalled = timeout(READ_INTERVAL, hup.recv()).await.is_ok();
        match NodeSettings::from_file(&shared.settings.file) {
            Ok(settings) => apply_settings(&shared, settings, signalled),
            Err(e) => log::error!("settings.rejected error=\"{e}\" in_force=earlier"),
        }
    }
}

fn apply_settings(shared: &Shared, settings: NodeSettings, signalled: bool) {
    let changed = shared.settings_changed.send_if_modified(|current| {
        let changed = *current != settings;
        *current = settings;
        changed
    });
    if changed || signalled {
        log::info!("settings.reloaded changed={changed} signalled={signalled}");
    }
}
