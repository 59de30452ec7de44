//! What happens at the machines of plain services.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use flaxward_types::engine::Machine;
use flaxward_types::{AttemptId, RunnerName};

use super::back_ends::OK;
use super::{Event, Region};
use crate::caller::CallerRequest;
use crate::gateway::{Attempt, News};
use crate::network::between;
use crate::process::ProcessId;

/// A machine that runs a plain service.
#[derive(Clone, Debug)]
pub(super) struct ServiceMachine {
    pub machine: Machine,
    pub alive: bool,
    pub gone: bool,
    /// Number of its start.
    pub start: u64,
    /// Requests that it runs, by attempt: for whom, and whether the answer is lost.
    pub(super) running: BTreeMap<AttemptId, (ProcessId, Arc<CallerRequest>, bool)>,
}

impl ServiceMachine {
    pub(super) fn new(machine: Machine) -> Self {
        Self {
            machine,
            alive: true,
            gone: false,
            start: 0,
            running: BTreeMap::new(),
        }
    }
}

impl Region {
    /// A service takes a request, runs it, and answers later.
    pub(super) fn serve(
        &mut self,
        runner: &RunnerName,
        process: ProcessId,
        attempt: Attempt,
        lost: bool,
    ) {
        let request = Arc::clone(&attempt.request);
        let Some(service) = self.services.get_mut(runner) else {
            return;
        };
        let start = service.start;
        let work = (process, Arc::clone(&request), lost);
        service.running.insert(attempt.id, work);
        self.check_execution(&request);
        let time = between(
            Duration::from_millis(10),
            self.settings.service_time,
            &mut self.random,
        );
        let done = Event::ServiceDone(runner.clone(), start, attempt.id);
        self.after(time, done);
    }

    pub(super) fn service_done(&mut self, runner: &RunnerName, start: u64, attempt: AttemptId) {
        let Some(service) = self.services.get_mut(runner) else {
            return;
        };
        if service.start != start || !service.alive || service.gone {
            return;
        }
        let Some((process, request, lost)) = service.running.remove(&attempt) else {
            return;
        };
        let news = if lost {
            News::Broken
        } else {
            News::Body(OK, request.answer())
        };
        if !lost {
            self.bring(runner, process, attempt, News::Head);
        }
        self.bring(runner, process, attempt, news);
    }
}
