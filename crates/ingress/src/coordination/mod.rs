//! This daemon's part in coordinating what is loaded on which runner. It competes for the lease, reports to the
//! coordinator what its requests need and, while it is the coordinator itself, executes the decisions of the placement.

mod calls;
mod concurrency;
mod configuration_exchange;
mod crashes;
mod follower;
mod leader;
mod lease_changes;
mod notices;
mod origin_backup;
mod permits;
mod quotas;
mod standby;
mod stream_origins;

use std::collections::HashSet;
use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use flaxward_routing::arrivals::ArrivalBound;
use flaxward_routing::lease::{LeaseAnswer, LeaseStateMachine};
use flaxward_routing::messages::{Message, StoreNews};
use flaxward_routing::names::RunnerId;
use flaxward_routing::next_hop::{self, Received};
use flaxward_routing::placement::{Order, OrderAnswer};
use flaxward_routing::quarantine::exchange::QuarantineExchange;
use flaxward_routing::quota::announcer::AnnouncerRole;
use flaxward_routing::revision::StoreEra;
use flaxward_routing::stream_origins::backup::OriginBackup;
use flaxward_types::ResultCode;
use flaxward_types::time::Timestamp;
use tokio::sync::mpsc;
use tokio::time::sleep_until;

use crate::cold_periods::end_cold_periods;
use crate::counters::{PLAN_SECONDS, SUSPENSIONS, UPDATES_WITH_GAPS};
use crate::peer::{PeerSocket, UndecodableMessage};
use crate::state::Shared;
use crate::watches::{apply_evacuations, apply_membership};

use calls::{Caller, Event, log_foreign_report, log_settled, operation_name};
use concurrency::apply_concurrency_answers;
use configuration_exchange::ConfigurationExchange;
use follower::Follower;
use leader::Leader;
use permits::apply_permit_answers;
use quotas::Quotas;
use standby::StandbyAnnouncer;

/// Time between two checks of which tenants are near their limit. A coordinator is woken by each message of its members,
/// and a check iterates over all of them, so a check at each message would cost the square of their number.
const LIMITS_INTERVAL: Duration = Duration::from_millis(40);
/// Shortest suspension that is detected: the two clocks are not read at the same instant, so their readings always differ
/// by the time between the reads.
const MIN_SUSPENSION: Duration = Duration::from_millis(200);
/// Maximum number of address and reason pairs that are remembered as logged. When it is reached, all are forgotten and
/// may be logged again.
const MAX_NOT_UNDERSTOOD: usize = 1_024;
/// Maximum time between two iterations of the loop, and so between two polls of the lease while this daemon does not
/// coordinate.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// The coordination task.
pub(crate) struct Coordination {
    shared: Arc<Shared>,
    peers: PeerSocket,
    address: SocketAddr,
    lease: LeaseStateMachine,
    follower: Follower,
    leader: Option<Leader>,
    standby: StandbyAnnouncer,
    caller: Caller,
    queue: mpsc::UnboundedReceiver<Event>,
    is_store_failing: bool,
    /// Whether the store, which was never restored, has shown that there is no lease.
    is_lease_missing: bool,
    /// Whether all runners were known when the last call about the lease was made.
    knew_runners: bool,
    quotas: Quotas,
    quarantine: QuarantineExchange,
    configurations: ConfigurationExchange,
    origin_backup: OriginBackup,
    arrivals: ArrivalBound,
    /// When a message of the coordinator last arrived, by any route.
    coordinator_seen_at: Timestamp,
    /// The daemon that relays its messages, if they do not arrive directly.
    coordinator_relay: Option<SocketAddr>,
    /// The last version of the holdings that this daemon announced while it coordinated.
    holdings_version: u64,
    /// When the limits of tenants were last checked.
    limits_checked_at: Timestamp,
    /// Total time for which the machine was suspended, as far as it was detected.
    suspended: Duration,
    /// Senders of messages that this build can't decode, with the reasons, as logged.
    logged_not_understood: HashSet<(SocketAddr, String)>,
}

impl Coordination {
    /// Coordination of a daemon that does not know a coordinator yet.
    ///
    /// # Errors
    /// Fails if the socket has no address.
    pub(crate) fn new(shared: Arc<Shared>, peers: PeerSocket) -> anyhow::Result<Self> {
        let address = peers.address()?;
        let (events, queue) = mpsc::unbounded_channel();
        let lease = LeaseStateMachine::new(
            shared.settings.lease,
            shared.settings.name.clone(),
            shared.seed,
            address,
        );
        let lease = lease.with_strength(shared.settings.strength);
        let caller = Caller {
            shared: shared.clone(),
            events,
        };
        let now = shared.now();
        Ok(Self {
            quotas: Quotas::new(address, now),
            quarantine: QuarantineExchange::new(address),
            configurations: ConfigurationExchange::default(),
            origin_backup: OriginBackup::new(format!("{}-{:x}", shared.settings.name, shared.seed)),
            arrivals: ArrivalBound::new(now),
            coordinator_seen_at: now,
            coordinator_relay: None,
            holdings_version: 0,
            limits_checked_at: now,
            suspended: Duration::ZERO,
            logged_not_understood: HashSet::new(),
            follower: Follower::new(address),
            shared,
            peers,
            address,
            lease,
            leader: None,
            standby: StandbyAnnouncer::default(),
            caller,
            queue,
            is_store_failing: false,
            is_lease_missing: false,
            knew_runners: false,
        })
    }

    /// Runs until the daemon has stopped.
    pub(crate) async fn run(mut self) {
        loop {
            let now = self.shared.now();
            let peers = &self.peers;
            self.arrivals.on_poll(now, || peers.is_empty());
            let wake_at = self.shared.clock.instant(self.next_wake(now));
            let shared = self.shared.clone();
            tokio::select! {
                received = self.peers.receive() => {
                    match received {
                        Ok(Some(received)) => self.handle_datagram(received),
                        Ok(None) => {}
                        Err(other) => self.log_not_understood(&other),
                    }
                }
                Some(event) = self.queue.recv() => self.handle_event(event),
                () = shared.demand.notified() => self.follower.schedule_notice(),
                () = shared.ending.cancelled() => return,
                () = shared.keeper_wake.notified() => {}
                () = shared.run_reported.notified() => {}
                () = shared.partition_changed.notified() => {}
                () = shared.configuration_wanted.notified() => {
                    self.configurations.request_newer(&self.shared, &self.peers, self.address);
                }
                () = sleep_until(wake_at) => {}
            }
            if self.shared.is_stopping() {
                self.lease.stop();
            }
            self.tick();
        }
    }

    fn next_wake(&self, now: Timestamp) -> Timestamp {
        let next_message = self.follower.next_message(&self.shared);
        let mut wake_at = self.lease.next_poll(now).min(next_message);
        if let Some(leader) = &self.leader {
            wake_at = wake_at.min(leader.plan_due());
        }
        if let Some(quotas) = self.quotas.next_wake(&self.shared) {
            wake_at = wake_at.min(quotas);
        }
        if let Some(report) = self.next_run_report() {
            wake_at = wake_at.min(report);
        }
        if let Some(origins) = self.shared.tables().stream_origins.next_message() {
            wake_at = wake_at.min(origins);
        }
        wake_at.min(now + IDLE_INTERVAL)
    }

    /// Detects that the machine was suspended. Cached state ages by itself, since the clock counts that time; watches of the
    /// store are restarted, since their connections may have been lost meanwhile.
    fn notice_suspension(&mut self, now: Timestamp) {
        let suspended = self.shared.clock.suspended();
        let since = suspended.saturating_sub(self.suspended);
        if since < MIN_SUSPENSION {
            return;
        }
        self.suspended = suspended;
        metrics::counter!(SUSPENSIONS.name).increment(1);
        let fields: &[(&str, &dyn Display)] = &[("for_ms", &since.as_millis())];
        self.shared.log.write(now, "woke-from-suspension", fields);
        self.shared.restart_watches();
    }

    /// Performs the work that is due.
    fn tick(&mut self) {
        let now = self.shared.now();
        self.notice_suspension(now);
        let (store_era, known_revision) = {
            let tables = self.shared.tables();
            (tables.store_era, tables.runners.revision())
        };
        if let Some(start) = store_era {
            self.lease.note_era(start.first.era, now);
            self.peers.hops().note_era(start);
            // Must precede all sends: no member may learn of a later revision from this daemon.
            self.peers.hops().note_known(known_revision);
        }
        let is_partitioned = self.shared.tables().paths.is_partitioned(now);
        self.lease.set_partitioned(is_partitioned, now);
        let hears_holder = self.lease.hears_holder(now);
        self.shared
            .has_coordinator
            .store(hears_holder, Ordering::Relaxed);
        self.announce_quarantine(now);
        let (call, change) = self.lease.poll(now);
        if let Some(change) = change {
            self.lease_changed(&change);
        }
        if let Some(call) = call {
            self.knew_runners = self.shared.tables().runners_known;
            self.caller.call_store(call);
        }
        self.report_usage(now);
        self.announce_store(now);
        self.quotas.report(&self.shared, &self.peers, now);
        self.quotas.send_questions(&self.shared, &self.peers, now);
        self.send_notices(now);
        self.report_runners_down(now);
        self.send_permit_questions(now);
        self.send_rejection_limits(now);
        self.send_concurrency(now);
        self.send_stream_origins(now);
        self.send_origin_questions();
        self.back_up_origins(now);
        end_cold_periods(&self.shared);
        self.announce_limits(now);
        if self.leader.as_ref().is_some_and(|it| now >= it.plan_due()) {
            self.plan();
        }
    }

    /// Updates the daemons through which runners are reached if the direct paths are lost.
    fn update_runner_relays(&self, now: Timestamp) {
        let known = self.follower.relays();
        let relays = match &self.leader {
            Some(leader) => leader.relays_of(self.address, now),
            None if known.is_empty() => self.lease.recorded_members().to_vec(),
            None => known.to_vec(),
        };
        let others = relays.into_iter().filter(|relay| *relay != self.address);
        self.shared.tables().paths.set_relays(others.collect());
    }

    /// Reports to the coordinator what requests use and wait for, if a report is due.
    fn report_usage(&mut self, now: Timestamp) {
        let Some(message) = self.follower.due_message(&self.shared, now) else {
            return;
        };
        self.update_runner_relays(now);
        let summary = self.follower.due_summary(&self.shared);
        for message in summary.into_iter().chain([message]) {
            if self.leader.is_some() {
                self.handle_member_message(message);
            } else if let Some(coordinator) = self.follower.coordinator() {
                self.try_relay(coordinator, now);
                self.peers.send(coordinator, &message);
            }
        }
    }

    /// Tries to reach a silent coordinator through other daemons.
    fn try_relay(&mut self, coordinator: SocketAddr, now: Timestamp) {
        if now.since(self.coordinator_seen_at) < next_hop::COORDINATOR_SILENCE {
            return;
        }
        let relays = self.follower.relays();
        let relays = if relays.is_empty() {
            self.lease.recorded_members()
        } else {
            relays
        };
        self.peers.hops().set_relays(relays);
        self.peers.hops().try_relay(coordinator, now);
    }

    /// Handles a message for this daemon, or forwards one for another daemon.
    fn handle_datagram(&mut self, received: Received) {
        let now = self.shared.now();
        let earliest_arrival = self.arrivals.earliest_arrival();
        match received {
            Received::PassOn(forwarded) => {
                self.peers.forward(forwarded, now.since(earliest_arrival));
            }
            Received::Arrival(arrival) => {
                self.note_coordinator_route(arrival.from, now);
                self.handle_message(arrival.message, earliest_arrival - arrival.held);
            }
        }
    }

    /// Logs, once for each address and reason, that a daemon has sent a message that this build can't decode: it may run
    /// another build, and counts as silent here.
    fn log_not_understood(&mut self, other: &UndecodableMessage) {
        let reason = other.error.to_string();
        if self.logged_not_understood.len() >= MAX_NOT_UNDERSTOOD {
            self.logged_not_understood.clear();
        }
        if !self
            .logged_not_understood
            .insert((other.source, reason.clone()))
        {
            return;
        }
        let code = ResultCode::PeerNotUnderstood.number();
        let fields: &[(&str, &dyn Display)] = &[
            ("code", &code),
            ("peer", &other.source),
            ("reason", &format!("{reason:?}")),
        ];
        self.shared
            .log
            .write(self.shared.now(), "peer-not-understood", fields);
    }

    /// Records that a message of the coordinator has arrived, and logs a change of the route that it took.
    fn note_coordinator_route(&mut self, from: SocketAddr, now: Timestamp) {
        if self.follower.coordinator() != Some(from) {
            return;
        }
        self.coordinator_seen_at = now;
        let through = self.peers.hops().confirmed_relay(from, now);
        if through == self.coordinator_relay {
            return;
        }
        self.coordinator_relay = through;
        let route = through.map_or("directly".to_owned(), |through| through.to_string());
        let fields: &[(&str, &dyn Display)] = &[("coordinator", &from), ("through", &route)];
        self.shared.log.write(now, "way-to-coordinator", fields);
    }

    /// Announces to all daemons which tenants are near their limit, if this daemon is the announcer and an announcement is
    /// due.
    fn announce_limits(&mut self, now: Timestamp) {
        if !self.quotas.has_limits() || now.since(self.limits_checked_at) < LIMITS_INTERVAL {
            return;
        }
        self.limits_checked_at = now;
        let daemons = self.daemon_count(now);
        let (role, addresses, announcement) = if let Some(leader) = &self.leader {
            let announcement =
                self.quotas
                    .announcement(&leader.standby_addresses(now), daemons, now);
            (
                AnnouncerRole::Coordinator,
                leader.member_addresses(now),
                announcement,
            )
        } else {
            let Some(announcement) = self.quotas.deputy_announcement(daemons, now) else {
                return;
            };
            (
                AnnouncerRole::Deputy,
                self.follower.members().to_vec(),
                announcement,
            )
        };
        if !self.quotas.is_announcement_due(role, &announcement, now) {
            return;
        }
        self.quotas
            .record_announced(&self.shared, &announcement, now);
        self.send_to_others(&addresses, &Message::QuotaNews(announcement));
    }

    /// Sends a message to the given daemons, except to this one.
    fn send_to_others(&self, addresses: &[SocketAddr], message: &Message) {
        let others = addresses.iter().filter(|&&address| address != self.address);
        for address in others {
            self.peers.send(*address, message);
        }
    }

    /// Number of daemons. A coordinator that has just started has not received reports from all of them yet.
    fn daemon_count(&self, now: Timestamp) -> u32 {
        let known = self.shared.daemons();
        let Some(leader) = &self.leader else {
            return known;
        };
        let reporting = u32::try_from(leader.member_count(now).max(1)).unwrap_or(u32::MAX);
        if leader.is_starting(now) {
            reporting.max(known)
        } else {
            reporting
        }
    }

    /// Announces the state of the store to the members, if this daemon is a standby and the coordinator does not announce it.
    fn announce_store(&mut self, now: Timestamp) {
        let announcements = self.standby.due(&self.shared, self.address, now);
        for announcement in announcements {
            let message = Message::StoreNews(announcement);
            self.send_to_others(self.follower.members(), &message);
        }
    }

    /// Plans orders and reports, executes the plan, and sends the members their directions.
    fn plan(&mut self) {
        let started_at = self.shared.now();
        let term = self.lease.term(started_at);
        let daemons = self.daemon_count(started_at);
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        self.lease.set_strongest(leader.strongest_member());
        if Some(leader.term) != term {
            leader.finish_plan(started_at, started_at);
            return;
        }
        for action in leader.plan(&self.shared, started_at) {
            self.caller.execute(action, leader.term);
        }
        if !leader.is_starting(started_at) {
            self.lease.set_members(leader.member_addresses(started_at));
        }
        self.lease
            .set_versions(self.shared.version_record(started_at));
        let deputies = leader.standby_addresses(started_at);
        let quota = self.quotas.announcement(&deputies, daemons, started_at);
        self.quotas.apply_announcement(&self.shared, &quota);
        let messages = match self.lease.heartbeat(started_at) {
            Some(heartbeat) => leader.messages(&self.shared, heartbeat, self.address, &quota),
            None => Vec::new(),
        };
        for outgoing in messages {
            if outgoing.member == self.shared.settings.name {
                self.follower
                    .apply_direction(&self.shared, outgoing.direction, true, started_at);
            } else {
                let message = Message::Direction(Box::new(outgoing.direction));
                self.peers.send(outgoing.address, &message);
            }
        }
        let finished_at = self.shared.now();
        leader.finish_plan(started_at, finished_at);
        let is_announcement_due = leader.is_announcement_due(finished_at);
        if is_announcement_due {
            self.announce_leadership();
        }
        metrics::histogram!(PLAN_SECONDS.name).record(finished_at.since(started_at).as_secs_f64());
    }

    /// Handles a message that was sent no earlier than `earliest_arrival`.
    fn handle_message(&mut self, message: Message, earliest_arrival: Timestamp) {
        match message {
            Message::Direction(direction) => {
                let direction = *direction;
                self.lease
                    .handle_heartbeat(direction.lease, self.shared.now());
                self.follow(direction.address, direction.term);
                self.lease.set_strongest(direction.strongest);
                if let Some(stands_by) = direction.standby.stands_by() {
                    self.lease.set_stands_by(stands_by);
                }
                let leads = self.leader.is_some();
                apply_evacuations(&self.shared, direction.evacuations.clone(), "coordinator");
                self.compare_quarantine(direction.address, direction.quarantine_digest);
                self.quotas
                    .apply_announcement(&self.shared, &direction.quota);
                let version = direction.store.configuration_version;
                self.configurations
                    .record_announcement(&self.shared, direction.address, version);
                self.follower
                    .apply_direction(&self.shared, direction, leads, earliest_arrival);
            }
            Message::Usage(_) | Message::Waiting(_) | Message::HoldingsSummary(_) => {
                self.handle_member_message(message);
            }
            Message::LeaseEnded { term } => {
                self.log_lease("lease-end-heard", term);
                self.lease.handle_term_ended(term, self.shared.now());
            }
            Message::StoreNews(announcement) => {
                self.apply_store_announcement(announcement, earliest_arrival);
            }
            Message::UseReport(report) => self.quotas.record_use_report(report, self.shared.now()),
            Message::QuotaQuestions(questions) => {
                let now = self.shared.now();
                self.quotas.answer(&self.peers, &questions, now);
            }
            Message::QuotaAnswers(answers) => Quotas::apply_answers(&self.shared, &answers),
            Message::QuotaNews(announcement) => {
                self.quotas.apply_announcement(&self.shared, &announcement);
            }
            Message::PermitQuestions(questions) => {
                let now = self.shared.now();
                self.answer_permit_questions(&questions, now);
            }
            Message::PermitAnswers(answers) => apply_permit_answers(&self.shared, &answers),
            Message::RunnersDown(runners) => self.record_runners_down(&runners),
            Message::ConcurrencyQuestions(questions) => {
                let now = self.shared.now();
                self.answer_concurrency(&questions, now);
            }
            Message::ConcurrencyAnswers(answers) => {
                apply_concurrency_answers(&self.shared, &answers);
            }
            Message::ConcurrencyReport(report) => {
                let now = self.shared.now();
                self.record_concurrency(&report, now);
            }
            Message::RejectionLimits(received) => {
                let now = self.shared.now();
                self.merge_rejection_limits(&received, now);
            }
            Message::StreamOrigins(records) => {
                let now = self.shared.now();
                self.shared.tables().stream_origins.apply(&records, now);
            }
            Message::OriginQuestions(questions) => self.answer_origin_questions(&questions),
            Message::OriginAnswers(answers) => self.apply_origin_answers(answers),
            Message::RunnerNotices(notices) => self.merge_notices(&notices, earliest_arrival),
            Message::ConfigurationWanted(wanted) => {
                self.configurations
                    .answer(&self.shared, &self.peers, &wanted);
            }
            Message::ConfigurationChunk(chunk) => {
                self.configurations.apply_chunk(&self.shared, &chunk);
            }
            Message::RunReports(reports) => {
                // Builds before list the parts of a prompt from the broadest to the narrowest; the narrowest is judged first.
                for report in reports.iter().rev() {
                    self.shared.record_run(report);
                }
            }
            Message::QuarantineNews(announcement) => self.merge_quarantine(&announcement),
            // One for this daemon has been unpacked before, and none is forwarded twice.
            Message::Forwarded(_) => {}
        }
    }

    /// Applies the state of the store that a standby has announced.
    fn apply_store_announcement(&mut self, announcement: StoreNews, earliest_arrival: Timestamp) {
        if self.leader.is_some() {
            return;
        }
        if let Some(update) = announcement.membership
            && !apply_membership(&self.shared, update, announcement.state.membership_revision)
        {
            metrics::counter!(UPDATES_WITH_GAPS.name).increment(1);
        }
        apply_evacuations(&self.shared, announcement.evacuations, "standby");
        self.compare_quarantine(announcement.from, announcement.quarantine_digest);
        let version = announcement.state.configuration_version;
        self.configurations
            .record_announcement(&self.shared, announcement.from, version);
        self.shared
            .record_store_report(announcement.from, &announcement.state, earliest_arrival);
    }

    /// Handles a message of a member, if this daemon coordinates.
    fn handle_member_message(&mut self, message: Message) {
        let now = self.shared.now();
        let Some(leader) = &mut self.leader else {
            return;
        };
        match message {
            Message::Usage(usage) => leader.record_usage(usage, now),
            Message::Waiting(notice) => leader.record_waiting(notice, now),
            Message::HoldingsSummary(summary) => leader.record_summary(summary, now),
            _ => {}
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.shared.now();
        match event {
            Event::Lease(answer) => {
                self.note_store_answer(&answer);
                if let LeaseAnswer::Found(lease) = &answer {
                    let quarantine = &lease.record.quarantine;
                    self.shared.merge_quarantine(quarantine, "lease");
                    if let Some(versions) = &lease.record.versions {
                        self.shared.adopt_versions(versions);
                    }
                }
                self.note_lease_existence(&answer);
                let change = self.lease.handle_answer(answer, now);
                if self.lease.created_first() && self.knew_runners {
                    self.shared.tables().stream_origins.note_first_lease();
                    self.log_lease("first-lease-created", self.lease.term(now).unwrap_or(0));
                }
                if let Some(change) = change {
                    self.lease_changed(&change);
                }
                let recorded = self.lease.recorded_members().len();
                if recorded > 0 && !self.lease.hears_holder(now) {
                    let recorded = u32::try_from(recorded).unwrap_or(u32::MAX);
                    self.shared.set_daemons(recorded, "lease");
                }
            }
            Event::OriginBackup(answer) => self.handle_backup_answer(answer),
            Event::Report {
                runner,
                report,
                asked_at,
                term,
            } => {
                let Some(leader) = self.leader.as_mut().filter(|it| it.term == term) else {
                    return;
                };
                if let Some(report) = report.as_ref().filter(|it| !it.is_of(&runner)) {
                    log_foreign_report(&self.shared, &runner, report, term);
                }
                let settled = leader
                    .placement
                    .apply_report(&runner, report, asked_at, now);
                leader.schedule_plan(now);
                if let Some(settled) = settled {
                    log_settled(&self.shared, &runner, &settled, term);
                }
            }
            Event::Order {
                runner,
                answer,
                order,
                term,
            } => self.handle_order_answer(&runner, answer, &order, term),
        }
    }

    /// Records whether the system has had a lease; see [`Shared::has_lease`].
    fn note_lease_existence(&mut self, answer: &LeaseAnswer) {
        match answer {
            LeaseAnswer::Missing(era) => self.is_lease_missing = *era == StoreEra::FIRST,
            LeaseAnswer::Unknown => {}
            LeaseAnswer::Found(_) | LeaseAnswer::Written(_) | LeaseAnswer::Unreadable(_) => {
                self.is_lease_missing = false;
            }
        }
        let may_exist = !self.is_lease_missing || self.follower.coordinator().is_some();
        self.shared.has_lease.store(may_exist, Ordering::Relaxed);
    }

    /// Records whether the store answers. When it answers again, all watches are restarted: those that were started while it
    /// did not answer may hang forever.
    fn note_store_answer(&mut self, answer: &LeaseAnswer) {
        let fails = *answer == LeaseAnswer::Unknown;
        if !fails {
            self.shared.record_store_answer();
        }
        if let Some(revision) = answer.revision() {
            self.shared.record_store_era(revision);
        }
        if self.is_store_failing && !fails {
            self.shared.restart_watches();
        }
        self.is_store_failing = fails;
    }

    fn handle_order_answer(
        &mut self,
        runner: &RunnerId,
        answer: OrderAnswer,
        order: &Order,
        term: u64,
    ) {
        let now = self.shared.now();
        let fields: &[(&str, &dyn Display)] = &[
            ("runner", runner),
            ("operation", &operation_name(order.operation)),
            ("unit", &order.unit),
            ("answer", &format!("{answer:?}")),
            ("term", &term),
        ];
        self.shared.log.write(now, "order-answered", fields);
        if answer == OrderAnswer::Unknown {
            self.shared.check_path_of(runner);
        }
        if answer == OrderAnswer::FencedOff {
            if let Some(change) = self.lease.handle_fenced_off(term) {
                self.lease_changed(&change);
            }
            return;
        }
        if let Some(leader) = self.leader.as_mut().filter(|it| it.term == term) {
            leader.placement.apply_answer(runner, answer, now);
            leader.schedule_plan(now);
        }
    }
}
