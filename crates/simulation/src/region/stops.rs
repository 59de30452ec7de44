//! How the process of a daemon ends.

use flaxward_control::node::NodeEvent;

use super::{Event, Region};
use crate::caller::Outcome;
use crate::gateway::GatewayEvent;
use crate::process::ProcessId;
use crate::weakness::DaemonWeakness;

impl Region {
    /// A planned stop: no new request, those in progress finish, then the lease goes back.
    pub(super) fn stop(&mut self, id: ProcessId) {
        let now = self.now;
        let Some(process) = self
            .process(id)
            .filter(|process| process.stopping_since.is_none())
        else {
            return;
        };
        process.stopping_since = Some(now);
        let unanswered: Vec<u64> = process.gateway.unanswered().collect();
        self.note_planned_stop(&unanswered);
        self.tell_gateway(id, GatewayEvent::Stop);
        self.tell_node(id, NodeEvent::Stop);
        match self.settings.gateway.weakness {
            DaemonWeakness::StopsAtOnce => self.exit(id),
            DaemonWeakness::HandsOverFirst => self.tell_node(id, NodeEvent::Drained),
            _ => {}
        }
    }

    /// Carries a planned stop on once the requests in progress have finished.
    pub(super) fn carry_on_stop(&mut self, id: ProcessId) {
        let Some(process) = self.process(id) else {
            return;
        };
        if process.stopping_since.is_none() || process.gateway.in_progress() > 0 {
            return;
        }
        if process.node_stopped {
            return self.exit(id);
        }
        if !std::mem::replace(&mut process.hands_over, true) {
            self.tell_node(id, NodeEvent::Drained);
        }
    }

    /// The process ends; its connections break.
    pub(super) fn exit(&mut self, id: ProcessId) {
        self.trace(|| format!("{} exits", self.name_of(id)));
        if self.daemons[id.daemon].process.take().is_none() {
            return;
        }
        self.daemons[id.daemon].backlog.clear();
        self.watchers.retain(|watcher| watcher.process != id);
        let is_lost = |number: &u64| self.records[number].process == id;
        let lost: Vec<u64> = self.open.iter().copied().filter(is_lost).collect();
        for number in lost {
            self.end_request(number, Outcome::ConnectionLost);
        }
        self.break_connections(id);
        let delay = self.daemons[id.daemon].starts_at.since(self.now);
        self.after(delay, Event::Start(id.daemon));
    }
}
