//! The coordinator's work while this daemon's lease holds: when it plans, and what it takes in.

use std::net::SocketAddr;
use std::time::Duration;

use flaxward_routing::dissemination::{Dissemination, Outgoing};
use flaxward_routing::lease::LeaseHeartbeat;
use flaxward_routing::messages::{Direction, HoldingsSummary, Usage, WaitNotice};
use flaxward_routing::permits::keeper::PermitKeeper;
use flaxward_routing::placement::{Action, Placement};
use flaxward_routing::quota::QuotaNews;
use flaxward_routing::runners::Runner;
use flaxward_routing::strength::MachineStrength;
use flaxward_types::time::Timestamp;

use crate::state::{Shared, Tables};

/// Time between two plans if nothing has happened.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);
/// Shortest time between the end of a plan and the next one.
const LEAST_PLAN_PAUSE: Duration = Duration::from_millis(15);
/// Longest time between the end of a plan and the next one.
const LONGEST_PLAN_PAUSE: Duration = Duration::from_millis(500);
/// Pause after a plan, in times that the plan took: a weak machine also serves requests.
const PLAN_PAUSE_FACTOR: u32 = 3;

/// Time between two announcements to members that are not heard yet.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the beginning in which members may not have been heard yet.
const NEW_FOR: Duration = Duration::from_secs(4);

/// What the placement was last given of the tables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Taken {
    runner_changes: u64,
    configuration_version: u64,
    evacuations_revision: u64,
    leave_count: u64,
}

/// This daemon's coordination under one term.
pub(super) struct Leading {
    pub term: u64,
    pub placement: Placement,
    /// Permits for requests to cold runners.
    pub permits: PermitKeeper,
    dissemination: Dissemination,
    plan_due: Timestamp,
    /// Earliest time of the next plan.
    plan_allowed: Timestamp,
    taken: Option<Taken>,
    /// What was known of the runners before was taken in.
    has_beliefs: bool,
    begun_at: Timestamp,
    announced_at: Timestamp,
}

impl Leading {
    /// Coordination that begins now, on a link of a speed in Mbit/s.
    pub fn new(term: u64, placement: Placement, link: u32, now: Timestamp) -> Self {
        Self {
            term,
            placement,
            permits: PermitKeeper::new(now),
            dissemination: Dissemination::new(term, link, now),
            plan_due: now,
            plan_allowed: now,
            taken: None,
            has_beliefs: false,
            begun_at: now,
            announced_at: now,
        }
    }

    /// Whether members that are not heard yet are to be told again of this coordination: they may have started after
    /// it began. Returns true once for each time.
    pub fn is_announcement_due(&mut self, now: Timestamp) -> bool {
        let is_due = self.is_new(now) && now.since(self.announced_at) >= ANNOUNCEMENT_INTERVAL;
        if is_due {
            self.announced_at = now;
        }
        is_due
    }

    /// Whether members may not have been heard yet.
    pub fn is_new(&self, now: Timestamp) -> bool {
        now.since(self.begun_at) < NEW_FOR
    }

    /// Number of members that are heard.
    pub fn member_count(&self, now: Timestamp) -> usize {
        self.placement.members(now).len()
    }

    /// When the next plan is due.
    pub fn plan_due(&self) -> Timestamp {
        self.plan_due
    }

    /// Something has happened that the next plan should take in soon.
    pub fn plan_soon(&mut self, now: Timestamp) {
        self.plan_due = self.plan_due.min(self.plan_allowed.max(now));
    }

    /// Takes in what a member uses.
    pub fn heard_usage(&mut self, usage: Usage, now: Timestamp) {
        let is_new = self
            .dissemination
            .record_known_state(&usage.from, usage.known, now);
        let waits = !usage.waiting.is_empty();
        if waits {
            self.dissemination.schedule_message(&usage.from);
        }
        if is_new || waits {
            self.plan_soon(now);
        }
        self.placement.update_usage(usage, now);
    }

    /// Takes in what a member knows of what runners hold.
    pub fn heard_summary(&mut self, summary: HoldingsSummary, now: Timestamp) {
        self.dissemination.record_summary(summary, now);
    }

    /// Takes in what a member's requests wait for.
    pub fn heard_waiting(&mut self, notice: WaitNotice, now: Timestamp) {
        let member = &notice.from;
        self.dissemination
            .record_known_state(member, notice.known, now);
        if notice.has_gap {
            self.dissemination.record_gap(member, notice.known);
        }
        self.dissemination.schedule_message(member);
        self.placement.update_waiting(notice, now);
        self.plan_soon(now);
    }

    /// Decides on orders and reports.
    pub fn plan(&mut self, shared: &Shared, now: Timestamp) -> Vec<Action> {
        let configuration = shared.configuration();
        if let Some(configuration) = &configuration {
            self.placement.configure(configuration);
        }
        let tables = shared.tables();
        let present = Taken {
            runner_changes: tables.runners.change_count(),
            configuration_version: configuration.map_or(0, |it| it.version),
            evacuations_revision: tables.evacuations.revision,
            leave_count: tables.notices.leave_count(),
        };
        if tables.runners_known && self.taken != Some(present) {
            self.taken = Some(present);
            self.place_at_runners(&tables);
            if !self.has_beliefs {
                self.has_beliefs = true;
                self.placement.assume_holdings(&tables.runners);
            }
        }
        self.placement.apply_notices(&tables.notices, now);
        drop(tables);
        self.placement.plan(now)
    }

    /// Takes in the list of runners. Nothing is loaded in an evacuated zone, as at a runner that leaves; one may have said so
    /// in its answers before the list does.
    fn place_at_runners(&mut self, tables: &Tables) {
        let Tables {
            evacuations,
            notices,
            ..
        } = tables;
        let mut leaving = notices.leaving();
        let has_leaving = leaving.any(|id| tables.runners.get(id).is_some());
        if evacuations.zones.is_empty() && !has_leaving {
            // Thousands of runners are not copied without need.
            self.placement.set_runners(tables.runners.iter());
            return;
        }
        let placed: Vec<Runner> = tables
            .runners
            .iter()
            .map(|runner| Runner {
                draining: runner.draining
                    || notices.is_leaving(&runner.id)
                    || evacuations.includes(runner),
                ..runner.clone()
            })
            .collect();
        self.placement.set_runners(placed.iter());
    }

    /// A plan that began at a time is carried out; sets when the next one is due.
    pub fn planned(&mut self, begun: Timestamp, now: Timestamp) {
        let pause = now.since(begun) * PLAN_PAUSE_FACTOR;
        let pause = pause.clamp(LEAST_PLAN_PAUSE, LONGEST_PLAN_PAUSE);
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

    /// The strongest machine of a member.
    pub fn strongest_member(&self) -> MachineStrength {
        self.placement.strongest_member()
    }

    /// What the members are to be told now.
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

/// What a coordinator tells every member alike, before it has heard of them.
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
