//! Supervision of the tasks that a host depends on.

use tokio::task::{JoinError, JoinSet};

/// Waits until one of the tasks panics; tasks that return are ignored.
///
/// Without this check, a host whose heartbeats or store synchronisation stopped would keep working
/// with ever staler state.
pub async fn first_failure(tasks: &mut JoinSet<()>) -> JoinError {
    loop {
        match tasks.join_next().await {
            Some(Ok(())) => {}
            Some(Err(err)) => return err,
            None => std::future::pending().await,
        }
    }
}
