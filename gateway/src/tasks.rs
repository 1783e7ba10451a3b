//! Watches the tasks that a host cannot do without.

use tokio::task::{JoinError, JoinSet};

/// Waits until one of the tasks panics; those that come to their end do not matter.
///
/// A host whose heartbeats or feeds stopped would go on with an ever older picture.
pub async fn first_failure(tasks: &mut JoinSet<()>) -> JoinError {
    loop {
        match tasks.join_next().await {
            Some(Ok(())) => {}
            Some(Err(err)) => return err,
            None => std::future::pending().await,
        }
    }
}
