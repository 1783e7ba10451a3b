//! Supervision of tasks.

use fuchsiaknot_gateway::tasks::first_failure;
use tokio::task::JoinSet;

#[tokio::test(flavor = "current_thread")]
async fn panicking_task() {
    let mut tasks = JoinSet::new();
    tasks.spawn(async {});
    tasks.spawn(std::future::pending());
    tasks.spawn(async { panic!("the picture is lost") });
    assert!(first_failure(&mut tasks).await.is_panic());
}
