//! Properties and fault cases of claims.

mod claims_world;
mod requests_support;

use std::time::Duration;

use claims_world::{
    BODY, DEADLINE_UNIX, Flaw, Move, SETTLE_TRIES, StoreMood, World, answer, moves,
    moves_with_removal,
};
use flaxward_control::claims::{
    ClaimAction, ClaimEvent, ClaimFault, ClaimSettings, ClaimWrite, claim_name, expired,
    request_digest,
};
use flaxward_types::ResultCode as Code;
use flaxward_types::ids::check_name;
use flaxward_types::records::ClaimOutcome;
use requests_support::violation;

fn check(moves: Vec<Move>, flaw: Flaw) -> Result<(), String> {
    check_in(World::new(flaw), moves)
}

fn check_in(mut world: World, moves: Vec<Move>) -> Result<(), String> {
    for one in moves {
        world.play(one)?;
    }
    world.settle()
}

#[test]
fn a_key_runs_at_most_once_and_each_caller_is_answered() {
    assert_eq!(violation(&moves(), |case| check(case, Flaw::None)), None);
}

#[test]
fn broken_variants_of_claims_are_found() {
    for flaw in [
        Flaw::RunsWhenUnknown,
        Flaw::TakesOverFromGone,
        Flaw::ResendsAfterLostAnswer,
        Flaw::FreesKeyAfterLostAnswer,
        Flaw::BlindReplace,
        Flaw::SendsBeforeClaim,
    ] {
        let found = violation(&moves(), |case| check(case, flaw));
        assert!(found.is_some(), "{flaw:?} was not found");
    }
}

#[test]
fn the_removal_of_an_expired_claim_allows_no_second_run() {
    let check = |case| check_in(World::with_removal(Flaw::None), case);
    assert_eq!(violation(&moves_with_removal(), check), None);
}

#[test]
fn broken_variants_of_removal_are_found() {
    for flaw in [Flaw::RemovesEarly, Flaw::RemovesBlind] {
        let check = |case| check_in(World::with_removal(flaw), case);
        let found = violation(&moves_with_removal(), check);
        assert!(found.is_some(), "{flaw:?} was not found");
    }
}

/// A world in which the record of a first request stands under the key.
fn world_with(outcome: ClaimOutcome) -> World {
    let mut world = World::new(Flaw::None);
    world.submit(0, false).expect("submitted");
    world.write(0, StoreMood::Works, false).expect("written");
    world.record.as_mut().expect("a record").1.outcome = outcome;
    world.runs.insert(false, 1);
    world
}

fn answered(body: Option<&str>) -> ClaimOutcome {
    ClaimOutcome::Answered {
        status: 201,
        content_type: "text/plain".to_owned(),
        body: body.map(str::to_owned),
    }
}

/// The code that a second request with the key is refused with, and whether it may be sent.
fn second(outcome: ClaimOutcome, holder_gone: bool, other_body: bool) -> (Option<Code>, bool) {
    let mut world = world_with(outcome);
    world.submit(1, other_body).expect("submitted");
    for _ in 0..3 {
        world
            .write(1, StoreMood::Works, holder_gone)
            .expect("written");
    }
    let second = &world.submissions[1];
    let marked = world
        .record
        .is_some_and(|(_, claim)| claim.outcome == ClaimOutcome::Unknown);
    assert_eq!(marked, second.refused == Some(Code::KeyOutcomeUnknown));
    (second.refused, second.may_send)
}

#[test]
fn what_a_repeated_key_gets() {
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
    let mut world = world_with(ClaimOutcome::InProgress);
    world.submit(1, false).expect("submitted");
    world.write(1, StoreMood::Works, true).expect("marking");
    let (revision, claim) = world.record.as_mut().expect("a record");
    *revision = revision.next();
    claim.outcome = answered(Some(BODY));
    world.write(1, StoreMood::Works, true).expect("replayed");
    assert_eq!(world.submissions[1].refused, None);
    assert_eq!(world.submissions[1].replies, 1);
}

#[test]
fn an_outcome_is_written_after_growing_pauses_without_a_long_answer() {
    let mut world = world_with(ClaimOutcome::InProgress);
    let end = answer("x".repeat(ClaimSettings::default().max_kept_body + 1));
    let claim = &mut world.submissions[0].claim;
    let mut actions = claim.handle(ClaimEvent::Ended(end), 1_000);
    let mut longest = Duration::ZERO;
    for _ in 0..SETTLE_TRIES {
        let [ClaimAction::Write { after, write }] = actions.as_slice() else {
            panic!("not one write but {actions:?}");
        };
        let (ClaimWrite::Create(written) | ClaimWrite::Replace(_, written)) = write;
        assert_eq!(written.outcome, answered(None));
        assert!(*after >= longest, "{after:?} after {longest:?}");
        longest = *after;
        actions = claim.handle(ClaimEvent::Written(Err(ClaimFault::Unavailable)), 1_000);
    }
    assert_eq!(longest, ClaimSettings::default().longest_pause);
    assert_eq!(actions, [ClaimAction::Close]);
}

#[test]
fn a_claim_that_may_be_in_progress_is_not_removed() {
    let (_, mut claim) = world_with(ClaimOutcome::InProgress)
        .record
        .expect("a record");
    assert_eq!(claim.expires_unix, DEADLINE_UNIX + 30 + 24 * 3_600);
    assert!(!expired(&claim, claim.expires_unix - 1));
    assert!(expired(&claim, claim.expires_unix));
    claim.abandoned_unix = claim.expires_unix + 10;
    assert!(!expired(&claim, claim.expires_unix));
    claim.outcome = ClaimOutcome::Unknown;
    assert!(expired(&claim, claim.expires_unix));
}

#[test]
fn names_and_digests_tell_their_parts_apart() {
    assert_ne!(claim_name("despacho", "1"), claim_name("despacho1", ""));
    assert_ne!(claim_name("despacho", "1"), claim_name("field-api", "1"));
    assert_ne!(
        request_digest("POST", "/a", b"b"),
        request_digest("POST", "/ab", b"")
    );
    assert!(check_name(&claim_name("despacho", "\u{d1}and\u{fa} / 17")).is_ok());
}
