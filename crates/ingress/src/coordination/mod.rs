//! This daemon's part in deciding what is loaded where: it holds the lease if it can, tells the
//! coordinator what its requests need, and carries out what the placement decides while it
//! coordinates itself.

mod calls;
mod configurations;
mod crashes;
mod following;
mod informing;
mod leading;
mod lease_changes;
mod notices;
mod permits;
mod quotas;

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
use flaxward_types::ResultCode;
use flaxward_types::time::Timestamp;
use tokio::sync::mpsc;
use tokio::time::sleep_until;

use crate::cold_periods::end_cold_periods;
use crate::counters::{PLAN_SECONDS, SUSPENSIONS, UPDATES_WITH_GAPS};
use crate::peer::{NotUnderstood, PeerSocket};
use crate::state::Shared;
use crate::watches::{apply_evacuations, apply_membership};

use calls::{Caller, Event, log_foreign_report, log_settled, operation_name};
use configurations::Configurations;
use following::Following;
use informing::Informing;
use leading::Leading;
use permits::heard_permit_answers;
use quotas::Quotas;

/// Time between two looks at which tenants are near their limit. A coordinator is woken by each message of its members,
/// and a look goes through all of them, so that one at each message would cost their number squared.
const LIMITS_INTERVAL: Duration = Duration::from_millis(40);
/// Shortest suspension that is noticed; readings of two clocks differ by what lies between them.
const LEAST_SUSPENSION: Duration = Duration::from_millis(200);
/// Addresses and reasons that are remembered as logged, at most. Once there are more, all are forgotten and may be logged
/// again.
const MAX_NOT_UNDERSTOOD: usize = 1_024;
/// Time between looks at the lease while this daemon does not coordinate.
const IDLE_INTERVAL: Duration = Duration::from_millis(250);

/// The task of the coordination.
pub(crate) struct Coordination {
    shared: Arc<Shared>,
    peers: PeerSocket,
    address: SocketAddr,
    lease: LeaseStateMachine,
    following: Following,
    leading: Option<Leading>,
    informing: Informing,
    caller: Caller,
    queue: mpsc::UnboundedReceiver<Event>,
    store_fails: bool,
    quotas: Quotas,
    quarantine: QuarantineExchange,
    configurations: Configurations,
    arrivals: ArrivalBound,
    /// When the coordinator was last heard, in whatever way.
    coordinator_heard_at: Timestamp,
    /// Through which daemon it is heard, if not directly.
    coordinator_through: Option<SocketAddr>,
    /// The last version of the holdings that this daemon has told while it coordinated.
    holdings_version: u64,
    /// When the limits of tenants were looked at.
    limits_at: Timestamp,
    /// Time for which the machine was suspended, as far as that was noticed.
    suspended: Duration,
    /// Whom this build does not understand and why, as logged.
    not_understood: HashSet<(SocketAddr, String)>,
}

impl Coordination {
    /// Coordination of a daemon that knows of no coordinator yet.
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
            configurations: Configurations::default(),
            arrivals: ArrivalBound::new(now),
            coordinator_heard_at: now,
            coordinator_through: None,
            holdings_version: 0,
            limits_at: now,
            suspended: Duration::ZERO,
            not_understood: HashSet::new(),
            following: Following::new(address),
            shared,
            peers,
            address,
            lease,
            leading: None,
            informing: Informing::default(),
            caller,
            queue,
            store_fails: false,
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
                        Ok(Some(received)) => self.take_datagram(received),
                        Ok(None) => {}
                        Err(other) => self.not_understood(&other),
                    }
                }
                Some(event) = self.queue.recv() => self.happened(event),
                () = shared.demand.notified() => self.following.want_notice(),
                () = shared.ending.cancelled() => return,
                () = shared.keeper_wake.notified() => {}
                () = shared.run_reported.notified() => {}
                () = shared.configuration_wanted.notified() => {
                    self.configurations.ask(&self.shared, &self.peers, self.address);
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
        let next_message = self.following.next_message(&self.shared);
        let mut wake_at = self.lease.next_poll(now).min(next_message);
        if let Some(leading) = &self.leading {
            wake_at = wake_at.min(leading.plan_due());
        }
        if let Some(quotas) = self.quotas.next_wake(&self.shared) {
            wake_at = wake_at.min(quotas);
        }
        if let Some(report) = self.next_run_report() {
            wake_at = wake_at.min(report);
        }
        wake_at.min(now + IDLE_INTERVAL)
    }

    /// Notices that the machine was suspended. What is believed ages by itself, since the clock counts that time; watches
    /// of the store may have lost their other end meanwhile.
    fn notice_suspension(&mut self, now: Timestamp) {
        let suspended = self.shared.clock.suspended();
        let since = suspended.saturating_sub(self.suspended);
        if since < LEAST_SUSPENSION {
            return;
        }
        self.suspended = suspended;
        metrics::counter!(SUSPENSIONS.name).increment(1);
        let fields: &[(&str, &dyn Display)] = &[("for_ms", &since.as_millis())];
        self.shared.log.write(now, "woke-from-suspension", fields);
        self.shared.restart_watches();
    }

    /// Does what is due.
    fn tick(&mut self) {
        let now = self.shared.now();
        self.notice_suspension(now);
        let (store_era, known_until) = {
            let tables = self.shared.tables();
            (tables.store_era, tables.runners.revision())
        };
        if let Some(start) = store_era {
            self.lease.note_era(start.first.era, now);
            self.peers.hops().note_era(start);
            // Before anything is sent: no member knows more than this from here.
            self.peers.hops().note_known(known_until);
        }
        let hears = self.lease.hears_holder(now);
        self.shared.has_coordinator.store(hears, Ordering::Relaxed);
        self.tell_quarantine(now);
        let (call, change) = self.lease.poll(now);
        if let Some(change) = change {
            self.lease_changed(&change);
        }
        if let Some(call) = call {
            self.caller.call_store(call);
        }
        self.report_use(now);
        self.inform(now);
        self.quotas.report(&self.shared, &self.peers, now);
        self.quotas.send_questions(&self.shared, &self.peers, now);
        self.tell_notices(now);
        self.send_permit_questions(now);
        end_cold_periods(&self.shared);
        self.tell_limits(now);
        if self.leading.as_ref().is_some_and(|it| now >= it.plan_due()) {
            self.plan();
        }
    }

    /// Tells the coordinator what requests use and wait for, if that is due.
    fn report_use(&mut self, now: Timestamp) {
        let Some(message) = self.following.due_message(&self.shared, now) else {
            return;
        };
        let summary = self.following.due_summary(&self.shared);
        for message in summary.into_iter().chain([message]) {
            if self.leading.is_some() {
                self.heard_member(message);
            } else if let Some(coordinator) = self.following.coordinator() {
                self.seek_way(coordinator, now);
                self.peers.send(coordinator, &message);
            }
        }
    }

    /// Looks for a way to a coordinator that is silent through other daemons.
    fn seek_way(&mut self, coordinator: SocketAddr, now: Timestamp) {
        if now.since(self.coordinator_heard_at) < next_hop::COORDINATOR_SILENCE {
            return;
        }
        let relays = self.following.relays();
        let relays = if relays.is_empty() {
            self.lease.recorded_members()
        } else {
            relays
        };
        self.peers.hops().set_relays(relays);
        self.peers.hops().try_relay(coordinator, now);
    }

    /// Takes in a message for this daemon, or passes one on.
    fn take_datagram(&mut self, received: Received) {
        let now = self.shared.now();
        let came_after = self.arrivals.earliest_arrival();
        match received {
            Received::PassOn(forwarded) => self.peers.pass_on(forwarded, now.since(came_after)),
            Received::Arrival(arrival) => {
                self.note_way(arrival.from, now);
                self.received(arrival.message, came_after - arrival.held);
            }
        }
    }

    /// Logs, once for each address and reason, that a daemon has sent what this build does not understand: it may run
    /// another build, and to this one it is silent.
    fn not_understood(&mut self, other: &NotUnderstood) {
        let reason = other.error.to_string();
        if self.not_understood.len() >= MAX_NOT_UNDERSTOOD {
            self.not_understood.clear();
        }
        if !self.not_understood.insert((other.source, reason.clone())) {
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

    /// Notes that the coordinator is heard, and logs it if it is heard in another way than before.
    fn note_way(&mut self, from: SocketAddr, now: Timestamp) {
        if self.following.coordinator() != Some(from) {
            return;
        }
        self.coordinator_heard_at = now;
        let through = self.peers.hops().confirmed_relay(from, now);
        if through == self.coordinator_through {
            return;
        }
        self.coordinator_through = through;
        let way = through.map_or("directly".to_owned(), |through| through.to_string());
        let fields: &[(&str, &dyn Display)] = &[("coordinator", &from), ("through", &way)];
        self.shared.log.write(now, "way-to-coordinator", fields);
    }

    /// Tells all daemons which tenants are near their limit, if this daemon is to and it is due.
    fn tell_limits(&mut self, now: Timestamp) {
        if !self.quotas.are_kept() || now.since(self.limits_at) < LIMITS_INTERVAL {
            return;
        }
        self.limits_at = now;
        let daemons = self.daemons(now);
        let (speaker, addresses, news) = if let Some(leading) = &self.leading {
            let news = self
                .quotas
                .news(&leading.standby_addresses(now), daemons, now);
            (
                AnnouncerRole::Coordinator,
                leading.member_addresses(now),
                news,
            )
        } else {
            let Some(news) = self.quotas.deputy_news(daemons, now) else {
                return;
            };
            (
                AnnouncerRole::Deputy,
                self.following.members().to_vec(),
                news,
            )
        };
        if !self.quotas.is_news_due(speaker, &news, now) {
            return;
        }
        self.quotas.note_told(&self.shared, &news, now);
        self.send_to_others(&addresses, &Message::QuotaNews(news));
    }

    /// Sends a message to all of some daemons but this one.
    fn send_to_others(&self, addresses: &[SocketAddr], message: &Message) {
        let others = addresses.iter().filter(|&&address| address != self.address);
        for address in others {
            self.peers.send(*address, message);
        }
    }

    /// How many daemons there are. A coordinator that has just begun has not heard of all.
    fn daemons(&self, now: Timestamp) -> u32 {
        let known = self.shared.daemons();
        let Some(leading) = &self.leading else {
            return known;
        };
        let heard = u32::try_from(leading.member_count(now).max(1)).unwrap_or(u32::MAX);
        if leading.is_new(now) {
            heard.max(known)
        } else {
            heard
        }
    }

    /// Tells the members of the store, if this daemon stands by and the coordinator does not.
    fn inform(&mut self, now: Timestamp) {
        let news = self.informing.due(&self.shared, self.address, now);
        for news in news {
            let message = Message::StoreNews(news);
            self.send_to_others(self.following.members(), &message);
        }
    }

    /// Decides on orders and reports, carries the decisions out, and tells the members.
    fn plan(&mut self) {
        let begun = self.shared.now();
        let term = self.lease.term(begun);
        let daemons = self.daemons(begun);
        let Some(leading) = self.leading.as_mut() else {
            return;
        };
        self.lease.set_strongest(leading.strongest_member());
        if Some(leading.term) != term {
            leading.planned(begun, begun);
            return;
        }
        for action in leading.plan(&self.shared, begun) {
            self.caller.carry_out(action, leading.term);
        }
        if !leading.is_new(begun) {
            self.lease.set_members(leading.member_addresses(begun));
        }
        let deputies = leading.standby_addresses(begun);
        let quota = self.quotas.news(&deputies, daemons, begun);
        self.quotas.heard_news(&self.shared, &quota);
        let messages = match self.lease.heartbeat(begun) {
            Some(pulse) => leading.messages(&self.shared, pulse, self.address, &quota),
            None => Vec::new(),
        };
        for outgoing in messages {
            if outgoing.member == self.shared.settings.name {
                self.following
                    .take_direction(&self.shared, outgoing.direction, true, begun);
            } else {
                let message = Message::Direction(Box::new(outgoing.direction));
                self.peers.send(outgoing.address, &message);
            }
        }
        let ended = self.shared.now();
        leading.planned(begun, ended);
        let is_announcement_due = leading.is_announcement_due(ended);
        if is_announcement_due {
            self.announce();
        }
        metrics::histogram!(PLAN_SECONDS.name).record(ended.since(begun).as_secs_f64());
    }

    /// Takes in a message that was sent no earlier than at a time.
    fn received(&mut self, message: Message, came_after: Timestamp) {
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
                let leads = self.leading.is_some();
                apply_evacuations(&self.shared, direction.evacuations.clone(), "coordinator");
                self.compare_quarantine(direction.address, direction.quarantine_digest);
                self.quotas.heard_news(&self.shared, &direction.quota);
                let version = direction.store.configuration_version;
                self.configurations
                    .told(&self.shared, direction.address, version);
                self.following
                    .take_direction(&self.shared, direction, leads, came_after);
            }
            Message::Usage(_) | Message::Waiting(_) | Message::HoldingsSummary(_) => {
                self.heard_member(message);
            }
            Message::LeaseEnded { term } => {
                self.log_lease("lease-end-heard", term);
                self.lease.handle_term_ended(term, self.shared.now());
            }
            Message::StoreNews(news) => self.heard_store_news(news, came_after),
            Message::UseReport(report) => self.quotas.heard_use(report, self.shared.now()),
            Message::QuotaQuestions(questions) => {
                let now = self.shared.now();
                self.quotas.answer(&self.peers, &questions, now);
            }
            Message::QuotaAnswers(answers) => Quotas::heard_answers(&self.shared, &answers),
            Message::QuotaNews(news) => self.quotas.heard_news(&self.shared, &news),
            Message::PermitQuestions(questions) => {
                let now = self.shared.now();
                self.answer_permit_questions(&questions, now);
            }
            Message::PermitAnswers(answers) => heard_permit_answers(&self.shared, &answers),
            Message::RunnerNotices(notices) => self.heard_notices(&notices, came_after),
            Message::ConfigurationWanted(wanted) => {
                self.configurations
                    .answer(&self.shared, &self.peers, &wanted);
            }
            Message::ConfigurationChunk(chunk) => self.configurations.take(&self.shared, &chunk),
            Message::RunReports(reports) => {
                for report in &reports {
                    self.shared.record_run(report);
                }
            }
            Message::QuarantineNews(news) => self.heard_quarantine(&news),
            // One for this daemon was unpacked, and nobody passes one on twice.
            Message::Forwarded(_) => {}
        }
    }

    /// Takes in what a standby tells of the store.
    fn heard_store_news(&mut self, news: StoreNews, came_after: Timestamp) {
        if self.leading.is_some() {
            return;
        }
        if let Some(update) = news.membership
            && !apply_membership(&self.shared, update, news.state.membership_revision)
        {
            metrics::counter!(UPDATES_WITH_GAPS.name).increment(1);
        }
        apply_evacuations(&self.shared, news.evacuations, "standby");
        self.compare_quarantine(news.from, news.quarantine_digest);
        let version = news.state.configuration_version;
        self.configurations.told(&self.shared, news.from, version);
        self.shared
            .record_store_report(news.from, &news.state, came_after);
    }

    /// Takes in a message of a member, if this daemon coordinates.
    fn heard_member(&mut self, message: Message) {
        let now = self.shared.now();
        let Some(leading) = &mut self.leading else {
            return;
        };
        match message {
            Message::Usage(usage) => leading.heard_usage(usage, now),
            Message::Waiting(notice) => leading.heard_waiting(notice, now),
            Message::HoldingsSummary(summary) => leading.heard_summary(summary, now),
            _ => {}
        }
    }

    fn happened(&mut self, event: Event) {
        let now = self.shared.now();
        match event {
            Event::Lease(answer) => {
                self.note_store(&answer);
                if let LeaseAnswer::Found(lease) = &answer {
                    let quarantine = &lease.record.quarantine;
                    self.shared.merge_quarantine(quarantine, "lease");
                }
                if let Some(change) = self.lease.handle_answer(answer, now) {
                    self.lease_changed(&change);
                }
                let recorded = self.lease.recorded_members().len();
                if recorded > 0 && !self.lease.hears_holder(now) {
                    self.shared
                        .set_daemons(u32::try_from(recorded).unwrap_or(u32::MAX));
                }
            }
            Event::Report {
                runner,
                report,
                asked_at,
                term,
            } => {
                let Some(leading) = self.leading.as_mut().filter(|it| it.term == term) else {
                    return;
                };
                if let Some(report) = report.as_ref().filter(|it| !it.is_of(&runner)) {
                    log_foreign_report(&self.shared, &runner, report, term);
                }
                let settled = leading
                    .placement
                    .apply_report(&runner, report, asked_at, now);
                leading.plan_soon(now);
                if let Some(settled) = settled {
                    log_settled(&self.shared, &runner, &settled, term);
                }
            }
            Event::Order {
                runner,
                answer,
                order,
                term,
            } => self.order_answered(&runner, answer, &order, term),
        }
    }

    /// Watches that were begun while the store did not answer may hang for good.
    fn note_store(&mut self, answer: &LeaseAnswer) {
        let fails = *answer == LeaseAnswer::Unknown;
        if !fails {
            self.shared.record_store_answer();
        }
        if let Some(revision) = answer.revision() {
            self.shared.record_store_era(revision);
        }
        if self.store_fails && !fails {
            self.shared.restart_watches();
        }
        self.store_fails = fails;
    }

    fn order_answered(&mut self, runner: &RunnerId, answer: OrderAnswer, order: &Order, term: u64) {
        let now = self.shared.now();
        let fields: &[(&str, &dyn Display)] = &[
            ("runner", runner),
            ("operation", &operation_name(order.operation)),
            ("unit", &order.unit),
            ("answer", &format!("{answer:?}")),
            ("term", &term),
        ];
        self.shared.log.write(now, "order-answered", fields);
        if answer == OrderAnswer::FencedOff {
            if let Some(change) = self.lease.handle_fenced_off(term) {
                self.lease_changed(&change);
            }
            return;
        }
        if let Some(leading) = self.leading.as_mut().filter(|it| it.term == term) {
            leading.placement.apply_answer(runner, answer, now);
            leading.plan_soon(now);
        }
    }
}
