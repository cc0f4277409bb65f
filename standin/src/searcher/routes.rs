//! The HTTP calls of a backend server.

use super::{Inner, job, lock};
use crate::http;
use std::sync::{Arc, Weak};
use std::time;
use tarragondoor::searcher_api;
use tokio::sync::oneshot;

/// Routes calls to the backend server. The reference is weak because the backend server owns the
/// HTTP server.
pub struct Routes(pub Weak<Inner>);

impl http::App for Routes {
    async fn call(self: Arc<Self>, call: http::Call) -> http::Answer {
        let Some(inner) = self.0.upgrade() else { return http::Answer::CloseConnection };
        if call.is_control() {
            return inner.control(&call);
        }
        inner.wait_while_frozen().await;
        inner.delay_one_way().await;
        let answer = inner.serve(&call).await;
        inner.delay_one_way().await;
        inner.wait_while_frozen().await;
        answer
    }
}

impl Inner {
    /// Waits until the freeze fault is off.
    async fn wait_while_frozen(&self) {
        let mut faults = self.faults.subscribe();
        let _ = faults.wait_for(|faults| !faults.freeze).await;
    }

    async fn delay_one_way(&self) {
        let one_way_delay_ms = self.faults.borrow().one_way_delay_ms;
        if one_way_delay_ms > 0 {
            tokio::time::sleep(time::Duration::from_millis(one_way_delay_ms)).await;
        }
    }

    async fn serve(self: &Arc<Self>, call: &http::Call) -> http::Answer {
        if call.excess {
            return self.refuse(searcher_api::Refusal::ConnectionLimit);
        }
        match (call.method.as_str(), call.path.as_str()) {
            ("POST", "/search") => match call.json() {
                Ok(request) => self.run_detached(job::Job::Search(request)).await,
                Err(_) => self.refuse(searcher_api::Refusal::BadRequest),
            },
            ("POST", "/run") => match call.json() {
                Ok(request) => self.run_detached(job::Job::Run(request)).await,
                Err(_) => self.refuse(searcher_api::Refusal::BadRequest),
            },
            ("POST", "/cancel") => match call.json::<searcher_api::CancelRequest>() {
                Ok(request) => {
                    lock(&self.state).counts.cancels += 1;
                    self.attempts.cancel(request.attempt);
                    http::Answer::empty(200)
                }
                Err(_) => http::Answer::empty(400),
            },
            ("GET", "/status") => {
                lock(&self.state).counts.statuses += 1;
                match self.status() {
                    Some(status) => http::Answer::json(200, &status),
                    None => http::Answer::empty(500),
                }
            }
            _ => http::Answer::empty(404),
        }
    }

    /// Runs a job in its own task, so that it continues when the client closes the connection.
    async fn run_detached(self: &Arc<Self>, job: job::Job) -> http::Answer {
        let (done, answer) = oneshot::channel();
        self.spawn(job, done);
        answer.await.unwrap_or(http::Answer::CloseConnection)
    }

    fn spawn(self: &Arc<Self>, job: job::Job, done: oneshot::Sender<http::Answer>) {
        let inner = self.clone();
        let mut jobs = lock(&self.job_tasks);
        while jobs.try_join_next().is_some() {}
        jobs.spawn(async move {
            let _ = done.send(inner.run(job).await);
        });
    }

    fn control(self: &Arc<Self>, call: &http::Call) -> http::Answer {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/standin/faults") => http::Answer::json(200, &*self.faults.borrow()),
            ("GET", "/standin/journal") => http::Answer::json(200, &lock(&self.state).journal),
            ("GET", "/standin/counts") => http::Answer::json(200, &self.counts()),
            ("POST", "/standin/faults") => apply(call, |faults| self.set_faults(faults)),
            ("POST", "/standin/publish") => apply(call, |holding| self.publish(holding)),
            ("POST", "/standin/retire") => apply(call, |snapshot| self.retire(snapshot)),
            ("POST", "/standin/silence") => {
                self.silence();
                http::Answer::empty(200)
            }
            ("POST", "/standin/kill") => apply(call, |kill| {
                let address = lock(&self.server).as_ref().map(http::Server::address);
                if let Some(address) = address {
                    self.kill(address, kill);
                }
            }),
            _ => http::Answer::empty(404),
        }
    }
}

fn apply<T: serde::de::DeserializeOwned>(
    call: &http::Call,
    change: impl FnOnce(T),
) -> http::Answer {
    match call.json() {
        Ok(body) => {
            change(body);
            http::Answer::empty(200)
        }
        Err(_) => http::Answer::empty(400),
    }
}
