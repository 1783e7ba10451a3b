//! Deadlines of requests on a host that shuts down.
//!
//! The platform kills a process at the end of its grace period. A request is sent to a target only if
//! it is likely to be answered before that, and one that is not sent is refused at once. Answers the
//! load of a planned stop: callers keep sending to a host until they learn that it leaves.

use std::time::Duration;

use fuchsiaknot_core::{
    clock::{self, Moment},
    verdict::Reason,
};
use tokio::time::sleep;

use crate::{context::Context, entry::job::Job};

/// Time from the start of a shutdown to closing the ports. Until then the host still takes
/// requests, so that callers learn of the shutdown first.
const CLOSE_DELAY: Duration = Duration::from_millis(2500);
/// Time before the end of the grace period at which the connections are closed.
const END_MARGIN: Duration = Duration::from_millis(500);
/// Time before the connections are closed at which requests without a response get one.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);

/// Schedule of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// Start of the shutdown.
    pub start: Moment,
    /// Time at which the ports close.
    pub close: Moment,
    /// Time by which each request needs a response, or the first event of one.
    pub answer: Moment,
    /// Time at which the connections that are still open are closed.
    pub end: Moment,
}

impl Schedule {
    /// Creates the schedule of a shutdown with this grace period.
    pub fn new(start: Moment, grace: Duration) -> Schedule {
        let end = start + grace.saturating_sub(END_MARGIN);
        let answer = start + grace.saturating_sub(END_MARGIN + ANSWER_MARGIN);
        Schedule { start, close: (start + CLOSE_DELAY).min(answer), answer, end }
    }

    /// Returns until when a request may be sent to a target for the first time.
    ///
    /// `usual_duration` is the time that requests of its route take; `None` if it is unknown. It
    /// counts only for requests read before the ports closed: callers know of the shutdown by then.
    pub fn latest_start(
        &self,
        read_at: Moment,
        expires_at: Moment,
        usual_duration: Option<Duration>,
    ) -> Moment {
        if expires_at <= self.answer {
            return expires_at;
        }
        match usual_duration {
            Some(duration) if read_at < self.close => {
                self.start.max(self.answer.saturating_sub(duration))
            }
            _ => self.start,
        }
    }
}

/// Returns whether the host shuts down and a job must not be sent to a target any more unless it may
/// have run already.
pub fn is_too_late(context: &Context, job: &Job) -> bool {
    let Some(schedule) = context.shutdown_schedule() else { return false };
    latest_start(context, job, schedule) <= clock::now()
}

fn latest_start(context: &Context, job: &Job, schedule: Schedule) -> Moment {
    let usual_duration = context.state().durations.usual(&job.route.name);
    schedule.latest_start(job.read_at, job.expires_at, usual_duration)
}

/// Waits until a job without a response has to be given up because the host shuts down, and returns
/// the reason.
pub async fn interrupted(context: &Context, job: &Job) -> Reason {
    let schedule = context.shutdown_scheduled().await;
    if !job.may_have_started() {
        sleep_until(latest_start(context, job, schedule)).await;
        if !job.may_have_started() {
            return Reason::Leaving;
        }
    }
    sleep_until(schedule.answer).await;
    if job.may_have_started() { Reason::ShutDown } else { Reason::Leaving }
}

/// Waits until a request that has not been read whole has to be refused because the host shuts down.
pub async fn reading_ended(context: &Context) {
    let schedule = context.shutdown_scheduled().await;
    sleep_until(schedule.answer).await;
}

/// Sleeps until a moment; returns at once if it has passed, without a turn of the runtime's timer.
async fn sleep_until(moment: Moment) {
    let time_left = moment.saturating_sub(clock::now());
    if !time_left.is_zero() {
        sleep(time_left).await;
    }
}
