//! What happens at engines: orders, loads and answers token by token.

use std::sync::Arc;
use std::time::Duration;

use flaxward_types::engine::{Order, OrderAnswer};
use flaxward_types::{AttemptId, BootId, RunnerName};
use rand::RngExt;

use super::back_ends::{ENGINE_TIMEOUT, OK};
use super::{Event, Region};
use crate::caller::CallerRequest;
use crate::engine::{Effect, Generation, Source};
use crate::gateway::{Attempt, News};
use crate::network::between;
use crate::process::{Input, ProcessId};

/// Time until the memory of an unloaded artifact is free.
const UNLOAD: Duration = Duration::from_millis(300);

/// What ends at an engine.
#[derive(Clone, Copy, Debug)]
pub(super) enum EngineTimer {
    /// A load; whether it succeeds, and whether it came from the weight store.
    Loaded(u64, bool, bool),
    /// The unload of a load.
    Unloaded(u64),
    /// The next token of an answer.
    Token(AttemptId),
}

impl Region {
    pub(super) fn at_engine_order(&mut self, runner: &RunnerName, order: &Order) -> OrderAnswer {
        let engine = self
            .engines
            .get_mut(runner)
            .expect("an engine takes orders");
        let boot = engine.boot;
        let (answer, effect) = engine.order(order);
        match effect {
            Some(Effect::Load(number, source, bytes)) => {
                self.begin_load(runner, boot, number, source, bytes);
            }
            Some(Effect::Unload(number)) => {
                let timer = EngineTimer::Unloaded(number);
                self.after(UNLOAD, Event::Engine(runner.clone(), boot, timer));
            }
            None => {}
        }
        self.check_order(runner, order, &answer);
        answer
    }

    fn begin_load(
        &mut self,
        runner: &RunnerName,
        boot: BootId,
        number: u64,
        source: Source,
        bytes: u64,
    ) {
        let is_remote = source == Source::WeightStore;
        self.remote_loads += u32::from(is_remote);
        let speed = match source {
            Source::Memory => self.settings.memory_speed,
            Source::Disk => self.settings.disk_speed,
            Source::WeightStore => {
                let sharing = self.remote_loads.max(self.settings.weight_store_parallel);
                let speed = self.settings.weight_store_speed;
                speed * u64::from(self.settings.weight_store_parallel) / u64::from(sharing)
            }
        };
        let mut time = Duration::from_millis(bytes.saturating_mul(1_000) / speed.max(1));
        let (slow_until, factor) = self.faults.weight_store_slow;
        if is_remote && self.now < slow_until {
            time *= factor;
        }
        let Some(engine) = self.engines.get_mut(runner) else {
            return;
        };
        if engine.faults.stuck_loads > 0 {
            engine.faults.stuck_loads -= 1;
            return;
        }
        let fails = engine.faults.failing_loads > 0;
        engine.faults.failing_loads -= u8::from(fails);
        let timer = EngineTimer::Loaded(number, !fails, is_remote);
        self.after(time, Event::Engine(runner.clone(), boot, timer));
    }

    pub(super) fn engine_timer(&mut self, runner: &RunnerName, boot: BootId, timer: EngineTimer) {
        if let EngineTimer::Loaded(_, _, true) = timer {
            self.remote_loads = self.remote_loads.saturating_sub(1);
        }
        let Some(engine) = self.engines.get_mut(runner) else {
            return;
        };
        if engine.boot != boot || !engine.alive || engine.gone {
            return;
        }
        match timer {
            EngineTimer::Loaded(number, succeeded, _) => engine.end_load(number, succeeded),
            EngineTimer::Unloaded(number) => {
                engine.end_unload(number);
            }
            EngineTimer::Token(attempt) => self.next_token(runner, boot, attempt),
        }
    }

    /// An engine begins to answer a request.
    pub(super) fn generate(
        &mut self,
        runner: &RunnerName,
        process: ProcessId,
        attempt: Attempt,
        lost: bool,
    ) {
        let Some(artifact) = attempt.artifact else {
            return;
        };
        let generation = Generation {
            process,
            request: Arc::clone(&attempt.request),
            artifact,
            next: attempt.resume_from.unwrap_or(0),
            lost,
        };
        let Some(engine) = self.engines.get_mut(runner) else {
            return;
        };
        let boot = engine.boot;
        if engine.begin(attempt.id, generation).is_none() {
            return self.bring(runner, process, attempt.id, News::NotRun);
        }
        self.check_execution(&attempt.request);
        if lost {
            let delay = between(Duration::ZERO, ENGINE_TIMEOUT, &mut self.random);
            self.tell(delay, process, Input::News(attempt.id, News::Broken));
        } else {
            self.bring(runner, process, attempt.id, News::Head);
        }
        let timer = EngineTimer::Token(attempt.id);
        self.after(
            self.settings.token_time,
            Event::Engine(runner.clone(), boot, timer),
        );
    }

    fn next_token(&mut self, runner: &RunnerName, boot: BootId, attempt: AttemptId) {
        let now = self.now;
        let Some(engine) = self.engines.get_mut(runner) else {
            return;
        };
        let (hung_until, garbled_until) = (engine.faults.hung_until, engine.faults.garbled_until);
        let Some(generation) = engine.generations.get_mut(&attempt) else {
            return;
        };
        let again = Event::Engine(runner.clone(), boot, EngineTimer::Token(attempt));
        if now < hung_until {
            self.events.push(hung_until, again);
            return;
        }
        let index = generation.next;
        generation.next += 1;
        let (process, lost) = (generation.process, generation.lost);
        let request = Arc::clone(&generation.request);
        let is_over = generation.next >= request.tokens;
        if request.stream && !lost {
            let garbled = now < garbled_until;
            self.bring_token(runner, process, attempt, &request, index, garbled);
        }
        if !is_over {
            return self.after(self.settings.token_time, again);
        }
        if !lost {
            let news = if request.stream {
                News::Terminator
            } else {
                News::Body(OK, request.answer())
            };
            self.bring(runner, process, attempt, news);
        }
        self.end_generation(runner, attempt);
    }

    /// One token, unless the engine loses, doubles or swaps it. The last one is never lost without
    /// another after it: the end mark states no number, so that could not be noticed.
    fn bring_token(
        &mut self,
        runner: &RunnerName,
        process: ProcessId,
        attempt: AttemptId,
        request: &CallerRequest,
        index: u64,
        garbled: bool,
    ) {
        let news = News::Token(index, request.frame(index));
        let fate = if garbled {
            self.random.random_range(0..10)
        } else {
            9
        };
        let is_last = index + 1 >= request.tokens;
        match fate {
            0 if !is_last => {}
            1 => {
                self.bring(runner, process, attempt, news.clone());
                self.bring(runner, process, attempt, news);
            }
            2 if !is_last => {
                let later = Input::News(attempt, news);
                self.tell(self.settings.token_time * 2, process, later);
            }
            _ => self.bring(runner, process, attempt, news),
        }
    }

    pub(super) fn end_generation(&mut self, runner: &RunnerName, attempt: AttemptId) {
        if let Some(engine) = self.engines.get_mut(runner)
            && let Some(number) = engine.end(attempt)
        {
            let boot = engine.boot;
            let timer = EngineTimer::Unloaded(number);
            self.after(UNLOAD, Event::Engine(runner.clone(), boot, timer));
        }
    }
}
