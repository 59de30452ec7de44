//! Coordinator role while this daemon holds the lease: schedules plans, and records what the members report.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::concurrency::keeper::ConcurrencyKeeper;
use flaxward_routing::dissemination::{Dissemination, Outgoing, relays_of};
use flaxward_routing::lease::LeaseHeartbeat;
use flaxward_routing::messages::{Direction, HoldingsSummary, Usage, WaitNotice};
use flaxward_routing::names::RunnerId;
use flaxward_routing::permits::keeper::PermitKeeper;
use flaxward_routing::placement::{Action, Placement};
use flaxward_routing::quota::QuotaNews;
use flaxward_routing::runners::Runner;
use flaxward_routing::strength::MachineStrength;
use flaxward_types::time::Timestamp;

use crate::state::{Shared, Tables};

/// Time between two plans if nothing triggers one earlier.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between the end of a plan and the next one.
const MIN_PLAN_PAUSE: Duration = Duration::from_millis(15);
/// Maximum time between the end of a plan and the next one.
const MAX_PLAN_PAUSE: Duration = Duration::from_millis(500);
/// Pause after a plan, as a multiple of the plan's duration: a slow machine must also serve requests.
const PLAN_PAUSE_FACTOR: u32 = 3;

/// Time between two announcements to members that have not reported yet.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the start of a term in which some members may not have reported yet.
const STARTUP_PERIOD: Duration = Duration::from_secs(4);

/// Versions of the tables that the placement was last given.
#[derive(Clone, Debug, PartialEq, Eq)]
struct PlacementInputs {
    runner_changes: u64,
    configuration_version: u64,
    evacuations_revision: u64,
    leave_count: u64,
    down: BTreeSet<RunnerId>,
}

/// This daemon's coordination under one term.
pub(super) struct Leader {
    pub term: u64,
    pub placement: Placement,
    /// Permits for requests to cold runners.
    pub permits: PermitKeeper,
    /// Permits for requests to brittle runners.
    pub concurrency: ConcurrencyKeeper,
    dissemination: Dissemination,
    plan_due: Timestamp,
    /// Earliest time of the next plan.
    plan_allowed: Timestamp,
    placement_inputs: Option<PlacementInputs>,
    /// The holdings known from before this term have been given to the placement.
    has_assumed_holdings: bool,
    started_at: Timestamp,
    announced_at: Timestamp,
}

impl Leader {
    /// Starts coordinating now, on a link of `link` Mbit/s.
    pub fn new(term: u64, placement: Placement, link: u32, now: Timestamp) -> Self {
        Self {
            term,
            placement,
            permits: PermitKeeper::new(now),
            concurrency: ConcurrencyKeeper::new(now),
            dissemination: Dissemination::new(term, link, now),
            plan_due: now,
            plan_allowed: now,
            placement_inputs: None,
            has_assumed_holdings: false,
            started_at: now,
            announced_at: now,
        }
    }

    /// Whether this coordinator must be announced again to members that have not reported yet: they may have started after
    /// the term began. Returns true once per interval.
    pub fn is_announcement_due(&mut self, now: Timestamp) -> bool {
        let is_due = self.is_starting(now) && now.since(self.announced_at) >= ANNOUNCEMENT_INTERVAL;
        if is_due {
            self.announced_at = now;
        }
        is_due
    }

    /// Whether some members may not have reported yet.
    pub fn is_starting(&self, now: Timestamp) -> bool {
        now.since(self.started_at) < STARTUP_PERIOD
    }

    /// Number of members that have reported.
    pub fn member_count(&self, now: Timestamp) -> usize {
        self.placement.members(now).len()
    }

    /// When the next plan is due.
    pub fn plan_due(&self) -> Timestamp {
        self.plan_due
    }

    /// Schedules the next plan for as soon as the pause after the last one allows.
    pub fn schedule_plan(&mut self, now: Timestamp) {
        self.plan_due = self.plan_due.min(self.plan_allowed.max(now));
    }

    /// Records the usage of a member.
    pub fn record_usage(&mut self, usage: Usage, now: Timestamp) {
        let is_new = self
            .dissemination
            .record_known_state(&usage.from, usage.known, now);
        let has_waiting = !usage.waiting.is_empty();
        if has_waiting {
            self.dissemination.schedule_message(&usage.from);
        }
        if is_new || has_waiting {
            self.schedule_plan(now);
        }
        self.placement.update_usage(usage, now);
    }

    /// Records the digests of the holdings that a member knows.
    pub fn record_summary(&mut self, summary: HoldingsSummary, now: Timestamp) {
        self.dissemination.record_summary(summary, now);
    }

    /// Records what a member's requests wait for.
    pub fn record_waiting(&mut self, notice: WaitNotice, now: Timestamp) {
        let member = &notice.from;
        self.dissemination
            .record_known_state(member, notice.known, now);
        if notice.has_gap {
            self.dissemination.record_gap(member, notice.known);
        }
        self.dissemination.schedule_message(member);
        self.placement.update_waiting(notice, now);
        self.schedule_plan(now);
    }

    /// Decides which orders to send and which reports to read.
    pub fn plan(&mut self, shared: &Shared, now: Timestamp) -> Vec<Action> {
        let configuration = shared.configuration();
        if let Some(configuration) = &configuration {
            self.placement.configure(configuration);
        }
        let tables = shared.tables();
        let inputs = PlacementInputs {
            runner_changes: tables.runners.change_count(),
            configuration_version: configuration.map_or(0, |it| it.version),
            evacuations_revision: tables.evacuations.revision,
            leave_count: tables.notices.leave_count(),
            down: tables.notices.down(now),
        };
        if tables.runners_known && self.placement_inputs.as_ref() != Some(&inputs) {
            self.update_runners(&tables, &inputs.down);
            self.placement_inputs = Some(inputs);
            if !self.has_assumed_holdings {
                self.has_assumed_holdings = true;
                self.placement.assume_holdings(&tables.runners);
            }
        }
        self.placement.apply_notices(&tables.notices, now);
        drop(tables);
        self.placement.plan(now)
    }

    /// Gives the placement the list of runners. Runners in an evacuated zone count as draining, as do crashed ones and those that are
    /// leaving, so that nothing is loaded there; a runner may announce in its answers that it is leaving before the list
    /// shows it.
    fn update_runners(&mut self, tables: &Tables, down: &BTreeSet<RunnerId>) {
        let Tables {
            evacuations,
            notices,
            ..
        } = tables;
        let mut leaving = notices.leaving();
        let has_leaving = leaving.any(|id| tables.runners.get(id).is_some());
        if evacuations.zones.is_empty() && !has_leaving && down.is_empty() {
            // Avoids copying thousands of runners.
            self.placement.set_runners(tables.runners.iter());
            return;
        }
        let placed: Vec<Runner> = tables
            .runners
            .iter()
            .map(|runner| Runner {
                draining: runner.draining
                    || notices.is_leaving(&runner.id)
                    || down.contains(&runner.id)
                    || evacuations.includes(runner),
                ..runner.clone()
            })
            .collect();
        self.placement.set_runners(placed.iter());
    }

    /// Records that a plan has been executed, and sets when the next one is due.
    pub fn finish_plan(&mut self, started_at: Timestamp, now: Timestamp) {
        let pause = now.since(started_at) * PLAN_PAUSE_FACTOR;
        let pause = pause.clamp(MIN_PLAN_PAUSE, MAX_PLAN_PAUSE);
        self.plan_allowed = now + pause;
        self.plan_due = now + PLAN_INTERVAL.max(pause);
        if let Some(expected) = self.placement.next_expected_completion() {
            self.plan_due = self.plan_due.min(self.plan_allowed.max(expected));
        }
    }

    /// Addresses of all members.
    pub fn member_addresses(&self, now: Timestamp) -> Vec<SocketAddr> {
        let members = self.placement.members(now).into_iter();
        members.map(|(_, address)| address).collect()
    }

    /// Addresses of the standbys.
    pub fn standby_addresses(&self, now: Timestamp) -> Vec<SocketAddr> {
        self.dissemination.standby_addresses(&self.placement, now)
    }

    /// Daemons through which a member can reach the coordinator or runners.
    pub fn relays_of(&self, member: SocketAddr, now: Timestamp) -> Vec<SocketAddr> {
        let standbys = self.standby_addresses(now);
        relays_of(&standbys, &self.member_addresses(now), member)
    }

    /// The strongest machine of a member.
    pub fn strongest_member(&self) -> MachineStrength {
        self.placement.strongest_member()
    }

    /// The messages that are due to the members now.
    pub fn messages(
        &mut self,
        shared: &Shared,
        lease: LeaseHeartbeat,
        own: SocketAddr,
        quota: &QuotaNews,
    ) -> Vec<Outgoing> {
        let now = shared.now();
        let strongest = self.placement.strongest_member();
        let header = Direction {
            strongest: strongest.max(shared.settings.strength),
            ..header(shared, lease, own, quota)
        };
        let tables = shared.tables();
        self.dissemination
            .messages(&self.placement, &tables.runners, &header, now)
    }
}

/// The part of a direction that is the same for every member; it needs no report of the member.
pub(super) fn header(
    shared: &Shared,
    lease: LeaseHeartbeat,
    address: SocketAddr,
    quota: &QuotaNews,
) -> Direction {
    let store = shared.store_facts();
    Direction {
        strongest: shared.settings.strength,
        evacuations: store.evacuations,
        quarantine_digest: store.quarantine_digest,
        ..Direction::heartbeat(lease, address, store.state, quota.clone())
    }
}
