//! Property tests and fault cases of claims.

mod claims_simulation;
mod requests_support;

use std::time::Duration;

use claims_simulation::{
    BODY, DEADLINE_UNIX, Flaw, MAX_OUTCOME_WRITES, Operation, Simulation, StoreBehavior, answer,
    operations, operations_with_removal,
};
use flaxward_control::claims::{
    ClaimAction, ClaimEvent, ClaimFault, ClaimSettings, ClaimWrite, claim_name, is_expired,
    request_digest,
};
use flaxward_types::ResultCode as Code;
use flaxward_types::ids::check_name;
use flaxward_types::records::ClaimOutcome;
use requests_support::violation;

fn check(operations: Vec<Operation>, flaw: Flaw) -> Result<(), String> {
    check_in(Simulation::new(flaw), operations)
}

fn check_in(mut simulation: Simulation, operations: Vec<Operation>) -> Result<(), String> {
    for operation in operations {
        simulation.step(operation)?;
    }
    simulation.settle()
}

#[test]
fn a_key_runs_at_most_once_and_each_caller_gets_a_reply() {
    assert_eq!(
        violation(&operations(), |case| check(case, Flaw::None)),
        None
    );
}

#[test]
fn broken_variants_of_claims_are_detected() {
    for flaw in [
        Flaw::RunsWhenUnknown,
        Flaw::TakesOverFromGone,
        Flaw::ResendsAfterLostAnswer,
        Flaw::FreesKeyAfterLostAnswer,
        Flaw::BlindReplace,
        Flaw::SendsBeforeClaim,
    ] {
        let found = violation(&operations(), |case| check(case, flaw));
        assert!(found.is_some(), "{flaw:?} was not detected");
    }
}

#[test]
fn the_removal_of_an_expired_claim_allows_no_second_run() {
    let check = |case| check_in(Simulation::with_removal(Flaw::None), case);
    assert_eq!(violation(&operations_with_removal(), check), None);
}

#[test]
fn broken_variants_of_removal_are_detected() {
    for flaw in [Flaw::RemovesEarly, Flaw::RemovesBlind] {
        let check = |case| check_in(Simulation::with_removal(flaw), case);
        let found = violation(&operations_with_removal(), check);
        assert!(found.is_some(), "{flaw:?} was not detected");
    }
}

/// A simulation in which the key holds the record of a first request with this outcome.
fn simulation_with(outcome: ClaimOutcome) -> Simulation {
    let mut simulation = Simulation::new(Flaw::None);
    simulation.submit(0, false).expect("submitted");
    simulation
        .write(0, StoreBehavior::Works, false)
        .expect("written");
    simulation.record.as_mut().expect("a record").1.outcome = outcome;
    simulation.runs.insert(false, 1);
    simulation
}

fn answered(body: Option<&str>) -> ClaimOutcome {
    ClaimOutcome::Answered {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: body.map(str::to_owned),
    }
}

/// The code with which a second request with the same key is refused, and whether it may be sent.
fn second(outcome: ClaimOutcome, holder_gone: bool, other_body: bool) -> (Option<Code>, bool) {
    let mut simulation = simulation_with(outcome);
    simulation.submit(1, other_body).expect("submitted");
    for _ in 0..3 {
        simulation
            .write(1, StoreBehavior::Works, holder_gone)
            .expect("written");
    }
    let second = &simulation.submissions[1];
    let marked = simulation
        .record
        .is_some_and(|(_, claim)| claim.outcome == ClaimOutcome::Unknown);
    assert_eq!(marked, second.refused == Some(Code::KeyOutcomeUnknown));
    (second.refused, second.may_send)
}

#[test]
fn replies_to_a_repeated_key() {
    use ClaimOutcome::{InProgress, NotRun, Unknown};
    let refused = |code| (Some(code), false);
    let not_run = NotRun(Code::BackendUnreachable);
    assert_eq!(second(answered(Some(BODY)), false, false), (None, false));
    assert_eq!(
        second(answered(None), false, false),
        refused(Code::KeyAnswerNotKept)
    );
    assert_eq!(
        second(answered(Some(BODY)), false, true),
        refused(Code::KeyReused)
    );
    assert_eq!(
        second(InProgress, false, false),
        refused(Code::KeyInProgress)
    );
    assert_eq!(
        second(InProgress, true, false),
        refused(Code::KeyOutcomeUnknown)
    );
    assert_eq!(
        second(Unknown, false, false),
        refused(Code::KeyOutcomeUnknown)
    );
    assert_eq!(second(not_run, false, false), (None, true));
}

#[test]
fn an_answer_recorded_by_a_holder_thought_gone_is_replayed() {
    let mut simulation = simulation_with(ClaimOutcome::InProgress);
    simulation.submit(1, false).expect("submitted");
    simulation
        .write(1, StoreBehavior::Works, true)
        .expect("marking");
    let (revision, claim) = simulation.record.as_mut().expect("a record");
    *revision = revision.next();
    claim.outcome = answered(Some(BODY));
    simulation
        .write(1, StoreBehavior::Works, true)
        .expect("replayed");
    assert_eq!(simulation.submissions[1].refused, None);
    assert_eq!(simulation.submissions[1].replies, 1);
}

#[test]
fn an_outcome_is_retried_with_backoff_and_omits_an_oversized_body() {
    let mut simulation = simulation_with(ClaimOutcome::InProgress);
    let end = answer("x".repeat(ClaimSettings::default().max_kept_body + 1));
    let claim = &mut simulation.submissions[0].claim;
    let mut actions = claim.handle(ClaimEvent::Ended(end), 1_000);
    let mut previous = Duration::ZERO;
    for _ in 0..MAX_OUTCOME_WRITES {
        let [ClaimAction::Write { after, write }] = actions.as_slice() else {
            panic!("not one write but {actions:?}");
        };
        let (ClaimWrite::Create(written) | ClaimWrite::Replace(_, written)) = write;
        assert_eq!(written.outcome, answered(None));
        assert!(*after >= previous, "{after:?} after {previous:?}");
        previous = *after;
        actions = claim.handle(ClaimEvent::Written(Err(ClaimFault::Unavailable)), 1_000);
    }
    assert_eq!(previous, ClaimSettings::default().max_backoff);
    assert_eq!(actions, [ClaimAction::Close]);
}

#[test]
fn a_claim_that_may_be_in_progress_is_not_removed() {
    let (_, mut claim) = simulation_with(ClaimOutcome::InProgress)
        .record
        .expect("a record");
    assert_eq!(claim.expires_unix, DEADLINE_UNIX + 30 + 24 * 3_600);
    assert!(!is_expired(&claim, claim.expires_unix - 1));
    assert!(is_expired(&claim, claim.expires_unix));
    claim.abandoned_unix = claim.expires_unix + 10;
    assert!(!is_expired(&claim, claim.expires_unix));
    claim.outcome = ClaimOutcome::Unknown;
    assert!(is_expired(&claim, claim.expires_unix));
}

#[test]
fn names_and_digests_depend_on_the_boundaries_of_their_parts() {
    assert_ne!(claim_name("despacho", "1"), claim_name("despacho1", ""));
    assert_ne!(claim_name("despacho", "1"), claim_name("field-api", "1"));
    assert_ne!(
        request_digest("POST", "/a", b"b"),
        request_digest("POST", "/ab", b"")
    );
    assert!(check_name(&claim_name("despacho", "\u{d1}and\u{fa} / 17")).is_ok());
}
