//! The coordinator of a zone: holds the zone lease, places artifacts on runners, and answers
//! gateways.
//!
//! [`Coordinator::handle`] takes an event and returns the actions to carry out. It reads no clock
//! and does no I/O. `docs/design/authority.md` states the rules that it follows and why.

use std::time::Duration;

use flaxward_types::engine::Machine;
use flaxward_types::records::QuotaSubject;
use flaxward_types::{DaemonName, Timestamp, ZoneName};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::configuration::Configuration;
use crate::keep_alive::KeepAlive;

mod answers;
mod bases;
mod blocks;
mod choice;
mod consistency;
mod demand;
mod events;
mod holdings;
mod homes;
mod interface;
mod journal;
mod leading;
mod lease;
mod lease_observation;
mod loads;
mod memory;
mod needs;
mod orders;
mod placement;
mod plan_scope;
mod planner;
mod progress;
mod quota;
mod quota_draft;
mod requirements;
mod rounds;
mod rules;
mod runner;
mod sample;
mod slots;
mod store_health;
mod units;
mod unneeded;
mod views;
mod weakness;

pub use interface::{
    CoordinatorAction, CoordinatorEvent, CoordinatorSettings, Decision, DecisionKind, EngineFault,
    StoreFault, UnloadReason,
};
pub use sample::{SAMPLE_SIZE, sample};
pub use units::split_units;
pub use views::{ReplicaView, RunnerView, WaitingView};
pub use weakness::Weakness;

use answers::GatewayQuery;
use demand::DemandTable;
use journal::Journal;
use leading::{Context, Leading};
use lease::LeaseKeeper;
use store_health::{OutageTimeouts, StoreHealth};

/// Interval between plans when no event has called for one.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);

/// State that is kept across terms.
#[derive(Debug)]
struct Shared {
    settings: CoordinatorSettings,
    zone: ZoneName,
    zones: Vec<ZoneName>,
    weakness: Weakness,
    lease: LeaseKeeper,
    demands: DemandTable,
    keep_alive: KeepAlive,
    store: StoreHealth,
}

impl Shared {
    fn context<'a>(&'a self, now: Timestamp, configuration: &'a Configuration) -> Context<'a> {
        Context {
            now,
            settings: &self.settings,
            configuration,
            zone: &self.zone,
            zones: &self.zones,
            demands: &self.demands,
            keep_alive: &self.keep_alive,
            may_record: self.lease.may_record(now),
            in_outage: self.in_outage(now),
            weakness: self.weakness,
        }
    }

    /// Updates the store's health from the state of the lease and the configuration.
    fn update_store_health(&mut self, now: Timestamp, configuration: &Configuration) {
        let is_unconfirmed = self.lease.is_held() && !self.lease.may_record(now);
        self.store.observe_lease(is_unconfirmed, now);
        if self
            .store
            .observe_configuration(configuration.revision(), now)
        {
            self.lease.step_at(now);
        }
    }

    /// Whether the store counts as unavailable, so that no new record can be written.
    fn in_outage(&self, now: Timestamp) -> bool {
        let timeouts = OutageTimeouts {
            failure: self.settings.lease_renewal,
            recovery: self.settings.lease_duration,
        };
        self.store.is_unavailable(now, timeouts)
    }
}

/// Coordinates one zone, or is on standby to take over.
#[derive(Debug)]
pub struct Coordinator {
    shared: Shared,
    generator: ChaCha8Rng,
    machines: Option<Vec<Machine>>,
    journal: Journal,
    leading: Option<Leading>,
    /// An operation on the placement of an earlier term is outstanding.
    stray_placement: bool,
    /// Quotas with a write of an earlier term outstanding.
    stray_quotas: Vec<QuotaSubject>,
    next_plan: Timestamp,
    changed: bool,
    /// Whether the event being handled is a tick.
    is_tick: bool,
    last_now: Timestamp,
}

impl Coordinator {
    /// A coordinator for a zone of a region. The seed must differ with each start of the daemon.
    pub fn new(
        settings: CoordinatorSettings,
        own_name: DaemonName,
        zone: ZoneName,
        zones: Vec<ZoneName>,
        seed: u64,
    ) -> Self {
        Self::with_weakness(settings, own_name, zone, zones, seed, Weakness::None)
    }

    /// A coordinator with one rule disabled, so that tests can show that the rule is needed.
    pub fn with_weakness(
        settings: CoordinatorSettings,
        own_name: DaemonName,
        zone: ZoneName,
        zones: Vec<ZoneName>,
        seed: u64,
        weakness: Weakness,
    ) -> Self {
        Self {
            shared: Shared {
                settings,
                zone,
                zones,
                weakness,
                lease: LeaseKeeper::new(own_name),
                demands: DemandTable::default(),
                keep_alive: KeepAlive::new(),
                store: StoreHealth::default(),
            },
            generator: ChaCha8Rng::seed_from_u64(seed),
            machines: None,
            journal: Journal::default(),
            leading: None,
            stray_placement: false,
            stray_quotas: Vec::new(),
            next_plan: Timestamp::ZERO,
            changed: false,
            is_tick: false,
            last_now: Timestamp::ZERO,
        }
    }

    /// Handles an event and returns the actions to carry out.
    pub fn handle(
        &mut self,
        event: CoordinatorEvent,
        now: Timestamp,
        configuration: &Configuration,
    ) -> Vec<CoordinatorAction> {
        self.last_now = now;
        let mut actions = Vec::new();
        self.is_tick = event == CoordinatorEvent::Tick;
        let query = self.apply_event(event, now, configuration, &mut actions);
        self.shared.update_store_health(now, configuration);
        self.advance(query, now, configuration, &mut actions);
        let later = self.leading.as_ref().and_then(Leading::superseded_by);
        if let Some(later) = later {
            self.shared.lease.step_down(later, now);
            self.resign(&mut actions);
        }
        let nonce = u64::from(self.generator.random::<u32>());
        if let Some(operation) = self.shared.lease.step(now, &self.shared.settings, nonce) {
            self.shared.store.probe_sent(now);
            actions.push(operation);
        }
        for action in &actions {
            if let CoordinatorAction::Record(decision) = action {
                self.journal.record(decision.clone(), now);
            }
        }
        actions
    }

    /// Plans if something has changed or the interval is over, and sends what is due.
    fn advance(
        &mut self,
        query: Option<GatewayQuery>,
        now: Timestamp,
        configuration: &Configuration,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let context = self.shared.context(now, configuration);
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.apply_configuration(&context);
        let due = self.is_tick || self.changed;
        if leading.placement.fenced() && (self.changed || now >= self.next_plan) {
            let focus = leading.plan(&context);
            leading.answer_changes(&focus, &context);
            self.changed = false;
            self.next_plan = now + PLAN_INTERVAL;
        }
        if due {
            leading.drive_runners(&context);
        }
        if !self.stray_placement {
            let step = leading.placement.step(now, context.may_record);
            leading.actions.extend(step);
        }
        if let Some(query) = query {
            leading.answer_gateway(&query, &context);
        }
        actions.append(&mut leading.actions);
    }
}
