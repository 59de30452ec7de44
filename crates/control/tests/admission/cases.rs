//! Individual cases: sequences of events and the actions that each one must cause.

use std::time::Duration;

use flaxward_control::admission::{
    Admission, AdmissionAction, AdmissionEvent, AdmissionSettings, Arrival, BackEndFault, RequestId,
};
use flaxward_types::routing::{HeldAnswers, Outlook, Replica, RouteAnswer};
use flaxward_types::{ResultCode, RunnerName, Term, Timestamp, ZoneName};

/// Time in milliseconds, event, expected actions.
type Step = (u64, AdmissionEvent, &'static [&'static str]);

fn arrive(request: u64, priority: u8, deadline_ms: u64) -> AdmissionEvent {
    AdmissionEvent::Arrive(Arrival {
        request: RequestId(request),
        artifact: "m@v".parse().unwrap(),
        priority,
        deadline: Timestamp(deadline_ms),
        queue_limit: 2,
        prefix: None,
    })
}

fn route(zone: &str, sequence: u64, ready: &[&str], outlook: Outlook) -> AdmissionEvent {
    let replica = |runner: &&str| Replica {
        runner: RunnerName::literal(runner),
        address: String::new(),
        outstanding: 0,
    };
    AdmissionEvent::Routes(RouteAnswer {
        artifact: "m@v".parse().unwrap(),
        zone: ZoneName::literal(zone),
        term: Term(1),
        sequence,
        ready: ready.iter().map(replica).collect(),
        outlook,
    })
}

fn loading(estimate_ms: u64) -> Outlook {
    Outlook::Loading { estimate_ms }
}

fn elsewhere(zones: &[&str]) -> Outlook {
    let zones = zones.iter().map(|zone| ZoneName::literal(zone));
    Outlook::Elsewhere {
        zones: zones.collect(),
    }
}

fn heads(zones: &[&str]) -> AdmissionEvent {
    let zones = zones.iter().map(|zone| ZoneName::literal(zone));
    AdmissionEvent::Heads(zones.collect())
}

fn leaving(runners: &[&str]) -> AdmissionEvent {
    let runners = runners.iter().map(|runner| RunnerName::literal(runner));
    AdmissionEvent::Leaving(runners.collect())
}

fn returned(request: u64, fault: BackEndFault) -> AdmissionEvent {
    let deadline = Timestamp(60_000);
    AdmissionEvent::Returned {
        request: RequestId(request),
        fault,
        deadline,
    }
}

/// Short text of an action. For a demand: zone, waiting, running, arrivals, time to the earliest
/// deadline.
fn describe(action: &AdmissionAction) -> String {
    match action {
        AdmissionAction::Dispatch {
            request, runner, ..
        } => format!("send {} to {runner}", request.0),
        AdmissionAction::Refuse { request, refusal } => {
            let after = refusal.retry_after.unwrap_or(Duration::MAX).as_millis();
            format!("refuse {} {} {after}", request.0, refusal.code.number())
        }
        AdmissionAction::SendDemand { zone, demand } => {
            let left = match demand.earliest_deadline_ms {
                u64::MAX => "none".to_owned(),
                left => left.to_string(),
            };
            let (waiting, running) = (demand.waiting, demand.running);
            format!("ask {zone} {waiting} {running} {} {left}", demand.arrivals)
        }
    }
}

fn check(name: &str, steps: Vec<Step>) {
    let zones = ["a", "b", "c"].map(ZoneName::literal).to_vec();
    let settings = AdmissionSettings::default();
    let mut admission = Admission::new(settings, zones, 1);
    admission.handle(Timestamp(0), heads(&["a", "b", "c"]));
    for (index, (at, event, expected)) in steps.into_iter().enumerate() {
        let text = format!("{name}, step {index}: {event:?}");
        let actions = admission.handle(Timestamp(at), event);
        let actions: Vec<String> = actions.iter().map(describe).collect();
        assert_eq!(actions, expected, "{text}");
    }
}

use AdmissionEvent::Tick;

#[test]
fn one_demand_reports_all_waiting_requests() {
    check(
        "a burst",
        vec![
            (1_000, arrive(0, 5, 61_000), &["ask a 1 0 1 60000"]),
            (1_001, arrive(1, 5, 31_000), &[]),
            (1_002, route("a", 1, &[], loading(10_000)), &[]),
            (1_950, Tick, &[]),
            (2_000, Tick, &["ask a 2 0 1 29000"]),
            (
                2_001,
                route("a", 2, &["r1"], Outlook::Ready),
                &["send 1 to r1", "send 0 to r1"],
            ),
            // The last demand reported two waiting requests, so the coordinator must be updated.
            (2_950, Tick, &[]),
            (3_000, Tick, &["ask a 0 2 0 none"]),
            (4_950, Tick, &[]),
            (5_000, Tick, &["ask a 0 2 0 none"]),
            (5_100, AdmissionEvent::Finished(RequestId(0)), &[]),
            (5_100, AdmissionEvent::Finished(RequestId(1)), &[]),
            // Renewals are rare, so a demand that reports no running requests is sent early.
            (7_000, Tick, &["ask a 0 0 0 none"]),
            (
                9_500,
                arrive(2, 5, 61_000),
                &["send 2 to r1", "ask a 0 1 1 none"],
            ),
            (9_600, arrive(3, 5, 61_000), &["send 3 to r1"]),
            (9_700, AdmissionEvent::CallerGone(RequestId(2)), &[]),
            (9_700, AdmissionEvent::CallerGone(RequestId(3)), &[]),
            // An arrival whose request ended between two demands is still reported.
            (11_500, Tick, &["ask a 0 0 1 none"]),
        ],
    );
}

#[test]
fn a_request_that_cannot_be_served_in_time_is_refused_at_once_and_its_demand_is_kept_up() {
    check(
        "an estimate past a deadline",
        vec![
            (0, arrive(0, 5, 5_000), &["ask a 1 0 1 5000"]),
            (0, arrive(1, 7, 60_000), &[]),
            (
                1,
                route("a", 1, &[], loading(20_000)),
                &["refuse 0 2001 20000"],
            ),
            (2, arrive(2, 9, 9_000), &["refuse 2 2001 19999"]),
            (3, AdmissionEvent::CallerGone(RequestId(1)), &[]),
            // No request waits, but two refused callers are expected to retry.
            (1_000, Tick, &["ask a 1 0 2 24001"]),
            (1_001, route("a", 2, &[], loading(19_000)), &[]),
            (2_000, Tick, &["ask a 1 0 0 23001"]),
            (2_001, route("a", 3, &["r1"], Outlook::Ready), &[]),
            (3_000, Tick, &[]),
        ],
    );
}

#[test]
fn a_refusal_of_the_coordinator_applies_to_all_waiting_requests_and_expires() {
    let refused = || Outlook::Refused {
        code: ResultCode::NoMemory,
        retry_after_ms: 4_000,
    };
    check(
        "refused",
        vec![
            (0, arrive(0, 5, 60_000), &["ask a 1 0 1 60000"]),
            (0, arrive(1, 5, 60_000), &[]),
            (
                1,
                route("a", 1, &[], refused()),
                &["refuse 0 2004 4000", "refuse 1 2004 4000"],
            ),
            (500, arrive(2, 5, 60_000), &["refuse 2 2004 3501"]),
            (1_500, arrive(3, 5, 60_000), &["ask a 1 0 3 58500"]),
            (
                1_501,
                route("a", 2, &[], refused()),
                &["refuse 3 2004 4000"],
            ),
        ],
    );
}

#[test]
fn a_silent_zone_is_skipped_and_requests_are_refused_if_all_zones_are_silent() {
    check(
        "the own zone is silent, the next answers",
        vec![
            (0, arrive(0, 5, 60_000), &["ask a 1 0 1 60000"]),
            (950, Tick, &[]),
            (1_000, Tick, &["ask b 1 0 0 59000"]),
            (
                1_001,
                route("b", 1, &["r2"], Outlook::Ready),
                // The own zone gets a demand without waiting requests, since it may have received
                // the first one after all.
                &["send 0 to r2", "ask a 0 0 0 none"],
            ),
            (2_000, Tick, &["ask b 0 1 0 none"]),
            (2_100, AdmissionEvent::Finished(RequestId(0)), &[]),
            (3_950, Tick, &[]),
            (4_000, Tick, &["ask b 0 0 0 none"]),
            (60_000, Tick, &[]),
        ],
    );
    check(
        "all zones are silent",
        vec![
            (0, arrive(0, 5, 60_000), &["ask a 1 0 1 60000"]),
            (1_000, Tick, &["ask b 1 0 0 59000"]),
            (2_000, Tick, &["ask c 1 0 0 58000"]),
            (2_950, Tick, &[]),
            (3_000, Tick, &["refuse 0 2007 5000"]),
        ],
    );
    check(
        "no coordinator is known, then one is",
        vec![
            (0, heads(&[]), &[]),
            (0, arrive(0, 5, 60_000), &[]),
            (2_000, heads(&["c"]), &["ask c 1 0 0 58000"]),
            (2_001, route("c", 1, &[], loading(9_000)), &[]),
            (3_000, Tick, &["ask c 1 0 0 57000"]),
        ],
    );
}

#[test]
fn referrals_to_other_zones_are_followed() {
    check(
        "referrals",
        vec![
            (0, arrive(0, 5, 60_000), &["ask a 1 0 1 60000"]),
            (
                1,
                route("a", 1, &[], elsewhere(&["c", "b"])),
                &["ask c 1 0 0 59999"],
            ),
            (
                2,
                route("c", 1, &[], elsewhere(&["a", "b"])),
                &["ask b 1 0 0 59998"],
            ),
            (3, route("b", 1, &["r3"], Outlook::Ready), &["send 0 to r3"]),
        ],
    );
    check(
        "circular referrals",
        vec![
            (0, arrive(0, 5, 60_000), &["ask a 1 0 1 60000"]),
            (
                1,
                route("a", 1, &[], elsewhere(&["b"])),
                &["ask b 1 0 0 59999"],
            ),
            (2, route("b", 1, &[], elsewhere(&["a"])), &[]),
            (1_001, Tick, &["ask a 1 0 0 58999", "ask b 1 0 0 58999"]),
            (1_002, route("a", 2, &[], elsewhere(&["b"])), &[]),
            (1_002, route("b", 2, &[], elsewhere(&["a"])), &[]),
            (2_001, Tick, &["ask a 1 0 0 57999", "ask b 1 0 0 57999"]),
            (2_002, route("a", 3, &[], elsewhere(&["b"])), &[]),
            (2_002, route("b", 3, &[], elsewhere(&["a"])), &[]),
            (3_002, Tick, &["refuse 0 2005 5000"]),
        ],
    );
}

#[test]
fn a_full_queue_drops_the_lowest_priority_with_the_latest_deadline() {
    check(
        "a full queue",
        vec![
            (0, arrive(0, 5, 40_000), &["ask a 1 0 1 40000"]),
            (0, route("a", 1, &[], loading(7_000)), &[]),
            (0, arrive(1, 5, 50_000), &[]),
            (0, arrive(2, 4, 30_000), &["refuse 2 2002 7000"]),
            (0, arrive(3, 5, 45_000), &["refuse 1 2002 7000"]),
            (0, arrive(4, 9, 59_000), &["refuse 3 2002 7000"]),
            (40_000, Tick, &["refuse 0 2003 5000", "ask a 1 0 4 19000"]),
        ],
    );
}

#[test]
fn leaving_refusing_and_unreachable_runners_are_avoided() {
    check(
        "returns",
        vec![
            (0, arrive(0, 5, 60_000), &["ask a 1 0 1 60000"]),
            (1, route("a", 1, &["r1"], Outlook::Ready), &["send 0 to r1"]),
            (2, returned(0, BackEndFault::Refused), &[]),
            (3, arrive(1, 5, 60_000), &["send 1 to r1"]),
            (4, returned(1, BackEndFault::Unreachable), &[]),
            (5, arrive(2, 1, 60_000), &["refuse 2 2002 5000"]),
            (
                400,
                route("a", 2, &["r1", "r2"], Outlook::Ready),
                &["send 0 to r2", "send 1 to r2"],
            ),
            (401, returned(0, BackEndFault::Broken), &[]),
            (402, leaving(&["r1"]), &[]),
            (900, Tick, &[]),
            (901, Tick, &["send 0 to r2"]),
            (902, route("a", 1, &["r9"], Outlook::Ready), &[]),
            (903, arrive(4, 5, 60_000), &["send 4 to r2"]),
            (904, leaving(&["r1", "r2"]), &[]),
            (905, arrive(5, 5, 60_000), &[]),
            (1_950, leaving(&["r2"]), &["ask a 1 3 4 58050"]),
            (2_004, Tick, &["send 5 to r1"]),
        ],
    );
}

#[test]
fn a_request_past_its_deadline_is_refused_when_a_replica_becomes_ready() {
    check(
        "between two ticks",
        vec![
            (0, arrive(0, 5, 10), &["ask a 1 0 1 10"]),
            (
                20,
                route("a", 1, &["r1"], Outlook::Ready),
                &["refuse 0 2003 5000"],
            ),
        ],
    );
}

#[test]
fn unchanged_demand_is_renewed_rarely_and_together_with_other_demands() {
    let confirmed = |sequence| {
        AdmissionEvent::RoutesHeld(HeldAnswers {
            zone: ZoneName::literal("a"),
            term: Term(1),
            sequences: vec![sequence],
        })
    };
    check(
        "renewals",
        vec![
            (0, arrive(0, 5, 60_000), &["ask a 1 0 1 60000"]),
            (1, route("a", 1, &["r1"], Outlook::Ready), &["send 0 to r1"]),
            (2_000, Tick, &["ask a 0 1 0 none"]),
            // Not answered, so it is sent again soon.
            (3_950, Tick, &[]),
            (4_000, Tick, &["ask a 0 1 0 none"]),
            (4_001, confirmed(1), &[]),
            (23_950, Tick, &[]),
            (24_000, Tick, &["ask a 0 1 0 none"]),
            // The confirmation is for another answer.
            (24_001, confirmed(2), &[]),
            (26_000, Tick, &["ask a 0 1 0 none"]),
            (26_001, confirmed(1), &[]),
            (
                30_000,
                arrive(1, 5, 90_000),
                &["send 1 to r1", "ask a 0 2 1 none"],
            ),
            (30_001, confirmed(1), &[]),
            (32_000, arrive(2, 5, 90_000), &["send 2 to r1"]),
            (49_950, Tick, &[]),
            (50_000, Tick, &["ask a 0 3 1 none"]),
        ],
    );
}
