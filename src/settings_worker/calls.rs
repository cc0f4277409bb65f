//! Calls to the platform for the distribution of settings.

use crate::events::Event;
use crate::platform;
use crate::platform_api;
use crate::settings_distribution::api;
use std::time;

/// Makes a call. Any error becomes [`api::PlatformReply::Failed`] and is logged.
pub(super) async fn execute(
    platform: &platform::Client,
    call: api::PlatformCall,
) -> api::PlatformReply {
    match call {
        api::PlatformCall::Get(key) => match platform.get(&key.to_string()).await {
            Ok(Some(entry)) => found(entry),
            Ok(None) => api::PlatformReply::Absent,
            Err(error) => failed(&error),
        },
        api::PlatformCall::Put { key, expected, value } => {
            match platform.compare_and_swap(&key.to_string(), expected, value).await {
                Ok(platform::SwapOutcome::Written(store_revision)) => {
                    api::PlatformReply::Written { store_revision }
                }
                Ok(platform::SwapOutcome::Conflict(_)) => api::PlatformReply::Mismatch,
                Err(error) => failed(&error),
            }
        }
        api::PlatformCall::Watch { after, wait_ms } => {
            let wait = time::Duration::from_millis(wait_ms);
            match platform.watch(&api::Key::Root.to_string(), after, wait).await {
                Ok(Some(entry)) => found(entry),
                Ok(None) => api::PlatformReply::Unchanged,
                Err(error) => failed(&error),
            }
        }
    }
}

fn found(entry: platform_api::Entry) -> api::PlatformReply {
    api::PlatformReply::Found { value: entry.value, store_revision: entry.revision }
}

fn failed(error: &platform::PlatformError) -> api::PlatformReply {
    crate::event!(debug, Event::PlatformFailed, %error);
    api::PlatformReply::Failed
}
