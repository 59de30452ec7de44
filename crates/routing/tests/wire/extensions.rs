//! Encoding of the extensions after a message: `extensions.txt` has them as encoded by the first build that wrote them.

use std::net::SocketAddr;

use flaxward_routing::concurrency::limits::{RejectionLimitNews, SharedRejectionLimit};
use flaxward_routing::concurrency::{
    ConcurrencyAnswer, ConcurrencyAnswers, ConcurrencyDecision, ConcurrencyQuestion,
    ConcurrencyQuestions, ConcurrencyReport, EndedPermit, HeldPermits, PermitOutcome,
};
use flaxward_routing::encoding::Encoding;
use flaxward_routing::evacuation::Evacuations;
use flaxward_routing::fingerprint::RequestFingerprint;
use flaxward_routing::homes::Requirement;
use flaxward_routing::membership::{
    MembershipChange, MembershipUpdate, RunnerSummary, UpdateScope,
};
use flaxward_routing::messages::{
    KnownState, Message, StoreNews, StoreState, WaitNotice, WaitingUnit,
};
use flaxward_routing::names::{ModelName, RunnerId, ServiceName, SoftwareVersion, Unit, Zone};
use flaxward_routing::quarantine::{Narrower, RunContext, RunOutcome, RunReport};
use flaxward_routing::rate_limit::RequestRate;
use flaxward_routing::revision::{EraStart, StoreEra, StoreRevision};
use flaxward_routing::stream_origins::messages::{
    OriginAnswer, OriginAnswers, OriginQuestion, OriginQuestions, StreamOriginRecords, StreamRecord,
};
use flaxward_routing::stream_origins::{OriginKnowledge, StreamKey, StreamOrigin};
use flaxward_types::time::Timestamp;

const EXTENSIONS: &str = include_str!("extensions.txt");

fn revision(era: u64, number: u64) -> StoreRevision {
    StoreRevision {
        era: StoreEra::new(era),
        number,
    }
}

fn notice(known: StoreRevision) -> Message {
    Message::Waiting(WaitNotice {
        from: "d1".to_owned(),
        known: KnownState {
            runners_revision: known.ordered(),
            ..KnownState::default()
        },
        has_gap: false,
        waiting: Vec::new(),
    })
}

fn known_since(era: u64) -> Encoding {
    let mut encoding = Encoding::default();
    encoding.note_era(EraStart {
        first: revision(era, 0),
        known_before: 0,
    });
    encoding
}

fn restored() -> Encoding {
    let mut encoding = known_since(2);
    encoding.note_era(EraStart {
        first: revision(3, 48),
        known_before: revision(2, 65).ordered(),
    });
    encoding
}

/// A notice with requirements of two software versions and of none.
fn notice_with_versions() -> Message {
    let waiting = |version: Option<&str>| WaitingUnit {
        requirement: Requirement {
            software_version: version.map(SoftwareVersion::new),
            ..Requirement::anywhere(Unit {
                service: ServiceName::new("pool"),
                model: ModelName::new("m"),
                adapter: None,
            })
        },
        requests: 1,
        late: 0,
        priority: 2,
    };
    Message::Waiting(WaitNotice {
        from: "d1".to_owned(),
        known: KnownState {
            lacks_software_versions: true,
            ..KnownState::default()
        },
        has_gap: false,
        waiting: vec![waiting(Some("v1")), waiting(None), waiting(Some("v1.1"))],
    })
}

/// A list of runners of two software versions and of an unknown one, and one that is gone.
fn membership_with_versions() -> Message {
    let change = |name: &str, version: Option<&str>| MembershipChange {
        runner: RunnerId::new(name),
        revision: 65,
        summary: Some(RunnerSummary {
            service: ServiceName::new("pool"),
            address: SocketAddr::from(([10, 0, 0, 9], 7_080)),
            zone: Zone::new("z"),
            slots: 64,
            draining: false,
            cold_ms: 0,
            software_version: version.map(SoftwareVersion::new),
        }),
    };
    let gone = MembershipChange {
        summary: None,
        ..change("i-4", None)
    };
    Message::StoreNews(StoreNews {
        from: SocketAddr::from(([10, 0, 0, 1], 7_080)),
        state: StoreState::default(),
        membership: Some(MembershipUpdate {
            after: 64,
            until: 65,
            changes: vec![
                change("i-1", Some("v2")),
                gone,
                change("i-2", None),
                change("i-3", Some("v1")),
            ],
            scope: UpdateScope::Changes,
        }),
        evacuations: Evacuations::default(),
        quarantine_digest: 0,
    })
}

/// Messages about the origins of streams, each kind.
fn stream_origins() -> [Message; 3] {
    let origin = |version: &str| StreamOrigin {
        service: ServiceName::new("pool"),
        version: SoftwareVersion::new(version),
    };
    let record = |request: &str, origin: u8| StreamRecord {
        key: StreamKey::of(request),
        origin,
        seconds_left: 20,
    };
    let answer = |number, knowledge| OriginAnswer { number, knowledge };
    let only = OriginKnowledge::OneVersion {
        version: SoftwareVersion::new("v1"),
        covers_window: true,
    };
    [
        Message::StreamOrigins(StreamOriginRecords {
            origins: vec![origin("v1"), origin("v2")],
            streams: vec![record("r1", 0), record("r2", 1)],
        }),
        Message::OriginQuestions(OriginQuestions {
            from: SocketAddr::from(([10, 0, 0, 1], 7_080)),
            requests: vec![OriginQuestion {
                number: 300,
                key: Some(StreamKey::of("r1")),
                service: ServiceName::new("pool"),
                window_ms: 15_000,
            }],
        }),
        Message::OriginAnswers(OriginAnswers {
            answers: vec![
                answer(1, OriginKnowledge::Recorded(origin("v1"))),
                answer(2, only),
                answer(3, OriginKnowledge::SeveralVersions),
                answer(4, OriginKnowledge::NoRunner),
            ],
        }),
    ]
}

/// The four kinds of messages about brittle runners.
fn concurrency() -> [Message; 4] {
    let from: SocketAddr = "10.0.0.7:9000".parse().unwrap();
    let limit = RequestRate::per_second(6.0).unwrap();
    let runner = RunnerId::new("i-1");
    [
        Message::ConcurrencyQuestions(ConcurrencyQuestions {
            from,
            requests: vec![ConcurrencyQuestion {
                number: 300,
                runner: runner.clone(),
                rank: 2,
                slots: 12,
                limit,
                candidates: 3,
            }],
        }),
        Message::ConcurrencyAnswers(ConcurrencyAnswers {
            answers: vec![
                ConcurrencyAnswer {
                    number: 300,
                    decision: ConcurrencyDecision::Given { is_busy: true },
                },
                ConcurrencyAnswer {
                    number: 301,
                    decision: ConcurrencyDecision::Refused { retry_in_ms: 240 },
                },
            ],
        }),
        Message::ConcurrencyReport(ConcurrencyReport {
            from,
            ended: [
                PermitOutcome::Unused,
                PermitOutcome::Accepted,
                PermitOutcome::Rejected,
            ]
            .map(|outcome| EndedPermit {
                number: 300,
                runner: runner.clone(),
                outcome,
            })
            .to_vec(),
            held: vec![HeldPermits {
                runner,
                up_to: 305,
                numbers: vec![302, 304],
            }],
        }),
        Message::RejectionLimits(RejectionLimitNews {
            from,
            limits: vec![SharedRejectionLimit {
                service: ServiceName::new("pool"),
                limit,
                age_ms: 40,
                is_busy: true,
            }],
        }),
    ]
}

/// Reports of a crash under a request and a part of its prompt, of an answer, and of a run of which nothing more is known.
fn run_reports() -> Message {
    let request = RequestFingerprint::of_part(1);
    let part = RequestFingerprint::of_part(2);
    let crash = |fingerprint, narrower| RunReport {
        fingerprint,
        outcome: RunOutcome::Crashed(RunnerId::new("i-1")),
        context: Some(RunContext {
            sent_ms_ago: 310,
            ended_ms_ago: 10,
            narrower,
        }),
    };
    let mut reports = vec![
        crash(request, None),
        crash(part, Some(Narrower::Request(request))),
        crash(RequestFingerprint::of_part(3), Some(Narrower::Part(part))),
    ];
    reports.push(RunReport::answered(part, Timestamp(400), Timestamp(1_000)));
    reports.push(RunReport {
        fingerprint: request,
        outcome: RunOutcome::Completed,
        context: None,
    });
    Message::RunReports(reports)
}

/// Messages by name, each with its sender.
fn samples() -> Vec<(&'static str, Encoding, Message)> {
    let [records, questions, answers] = stream_origins();
    let [permit_questions, permit_answers, permit_report, limits] = concurrency();
    vec![
        ("store-unknown", Encoding::default(), notice(revision(0, 0))),
        ("first-era", known_since(0), notice(revision(0, 65))),
        ("later-era", known_since(2), notice(revision(2, 65))),
        ("restored", restored(), notice(revision(3, 50))),
        ("versions-waiting", known_since(0), notice_with_versions()),
        (
            "versions-runners",
            known_since(0),
            membership_with_versions(),
        ),
        ("stream-origins", known_since(0), records),
        ("origin-questions", known_since(0), questions),
        ("origin-answers", known_since(0), answers),
        (
            "runners-down",
            known_since(0),
            Message::RunnersDown(vec![RunnerId::new("i-1"), RunnerId::new("i-2")]),
        ),
        ("concurrency-questions", known_since(0), permit_questions),
        ("concurrency-answers", known_since(0), permit_answers),
        ("concurrency-report", known_since(0), permit_report),
        ("rejection-limits", known_since(0), limits),
        ("run-contexts", known_since(0), run_reports()),
    ]
}

fn hexadecimal(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

#[test]
fn the_encoding_of_extensions_is_stable() {
    let written = samples().into_iter().map(|(name, sender, message)| {
        let bytes = sender.encode(&message);
        format!("{name} {}\n", hexadecimal(&bytes))
    });
    assert_eq!(written.collect::<String>(), EXTENSIONS);
}

#[test]
fn extensions_of_earlier_builds_are_decoded() {
    for ((_, _, message), line) in samples().into_iter().zip(EXTENSIONS.lines()) {
        let (_, digits) = line.split_once(' ').unwrap();
        let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).unwrap();
        let bytes: Vec<u8> = (0..digits.len()).step_by(2).map(byte).collect();
        let read = Encoding::default().decode(&bytes).unwrap();
        assert_eq!(read, message, "{line}");
    }
}
