//! The coordinator of a zone: who may decide, what is loaded where, and what waits.
//!
//! [`Coordinator::handle`] is told what happened and returns what to do. It reads no clock and does
//! no I/O. `docs/design/authority.md` states the rules that it keeps and why.

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
mod ledger;
mod loads;
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

use answers::Asked;
use demand::DemandTable;
use journal::Journal;
use leading::{Context, Leading};
use lease::LeaseKeeper;
use store_health::{Patience, StoreHealth};

/// Time between plans when nothing has happened.
const PLAN_INTERVAL: Duration = Duration::from_millis(250);

/// What outlives a term.
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

    /// Notes what lease and configuration say about the store.
    fn watch_store(&mut self, now: Timestamp, configuration: &Configuration) {
        let is_in_doubt = self.lease.is_held() && !self.lease.may_record(now);
        self.store.note_lease(is_in_doubt, now);
        if self.store.note_configuration(configuration.revision(), now) {
            self.lease.hurry(now);
        }
    }

    /// Whether the store has failed for a while, so that nothing new can be recorded.
    fn in_outage(&self, now: Timestamp) -> bool {
        let patience = Patience {
            failing: self.settings.lease_renewal,
            hope: self.settings.lease_duration,
        };
        self.store.is_out(now, patience)
    }
}

/// Coordinates one zone, or stands by to do so.
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
    /// The event in hand is a tick.
    ticked: bool,
    last_now: Timestamp,
}

impl Coordinator {
    /// A coordinator for a zone of a region. The seed must differ with each start of the daemon.
    pub fn new(
        settings: CoordinatorSettings,
        me: DaemonName,
        zone: ZoneName,
        zones: Vec<ZoneName>,
        seed: u64,
    ) -> Self {
        Self::with_weakness(settings, me, zone, zones, seed, Weakness::None)
    }

    /// A coordinator that leaves out a rule, for proofs that the rule is needed.
    pub fn with_weakness(
        settings: CoordinatorSettings,
        me: DaemonName,
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
                lease: LeaseKeeper::new(me),
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
            ticked: false,
            last_now: Timestamp::ZERO,
        }
    }

    /// Takes in an event and returns what to do.
    pub fn handle(
        &mut self,
        event: CoordinatorEvent,
        now: Timestamp,
        configuration: &Configuration,
    ) -> Vec<CoordinatorAction> {
        self.last_now = now;
        let mut actions = Vec::new();
        self.ticked = event == CoordinatorEvent::Tick;
        let asked = self.take_in(event, now, configuration, &mut actions);
        self.shared.watch_store(now, configuration);
        self.advance(asked, now, configuration, &mut actions);
        let later = self.leading.as_ref().and_then(Leading::overtaken_by);
        if let Some(later) = later {
            self.shared.lease.lose(later, now);
            self.resign(&mut actions);
        }
        let nonce = u64::from(self.generator.random::<u32>());
        if let Some(operation) = self.shared.lease.step(now, &self.shared.settings, nonce) {
            self.shared.store.probe_sent(now);
            actions.push(operation);
        }
        for action in &actions {
            if let CoordinatorAction::Record(decision) = action {
                self.journal.note(decision.clone(), now);
            }
        }
        actions
    }

    /// Plans if there is reason to, and sends what is due.
    fn advance(
        &mut self,
        asked: Option<Asked>,
        now: Timestamp,
        configuration: &Configuration,
        actions: &mut Vec<CoordinatorAction>,
    ) {
        let context = self.shared.context(now, configuration);
        let Some(leading) = &mut self.leading else {
            return;
        };
        leading.apply_configuration(&context);
        let due = self.ticked || self.changed;
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
        if let Some(asked) = asked {
            leading.answer_gateway(&asked, &context);
        }
        actions.append(&mut leading.actions);
    }
}
