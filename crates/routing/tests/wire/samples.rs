//! A sample message of each kind, with every field set.

use std::net::SocketAddr;

use flaxward_routing::configuration_transfer::{ConfigurationChunk, PartId};
use flaxward_routing::evacuation::Evacuations;
use flaxward_routing::fingerprint::{RequestContent, RequestFingerprint};
use flaxward_routing::holdings_digests::HoldingsDigests;
use flaxward_routing::homes::{Homes, Requirement};
use flaxward_routing::lease::LeaseHeartbeat;
use flaxward_routing::membership::{
    MembershipChange, MembershipUpdate, RunnerSummary, UpdateScope,
};
use flaxward_routing::messages::{
    ConfigurationWanted, Direction, HoldingsSummary, KnownState, Message, RunnerLoad, RunningUnit,
    StoreLimit, StoreNews, StoreState, UnitOutlook, Usage, UsedUnit, WaitNotice, WaitingUnit,
};
use flaxward_routing::names::{
    AdapterName, ModelName, Region, RunnerId, RunnerStart, ServiceName, TenantName, Unit, Zone,
};
use flaxward_routing::next_hop::Forwarded;
use flaxward_routing::notices::{RunnerNotices, SharedNotice, SharedRate};
use flaxward_routing::permits::{
    PermitAnswer, PermitAnswers, PermitDecision, PermitQuestion, PermitQuestions,
};
use flaxward_routing::quarantine::exchange::QuarantineNews;
use flaxward_routing::quarantine::{QuarantineEntry, RunOutcome, RunReport};
use flaxward_routing::quota::{
    Grant, QuotaAnswer, QuotaAnswers, QuotaNews, QuotaQuestion, QuotaQuestions, TenantLimit,
    TenantUse, UseReport,
};
use flaxward_routing::rate_limit::RequestRate;
use flaxward_routing::runners::RunnerHoldings;
use flaxward_routing::standby::StandbyPlace;
use flaxward_routing::strength::MachineStrength;

fn address(last: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, last], 7_080))
}

fn runner() -> RunnerId {
    RunnerId::with_start("i-1", RunnerStart::from_millis(1_700_000_000_000).unwrap())
}

fn unit() -> Unit {
    Unit {
        service: ServiceName::new("pool"),
        model: ModelName::new("m"),
        adapter: Some(AdapterName::new("a1")),
    }
}

fn requirement() -> Requirement {
    Requirement {
        unit: unit(),
        homes: Homes::from_regions([Region::new("east"), Region::new("west")]),
        software_version: None,
    }
}

fn fingerprint() -> RequestFingerprint {
    RequestFingerprint::of(&RequestContent {
        method: "POST",
        host: "a.example",
        target: "/p/x?y",
        tenant: Some(&TenantName::new("t")),
        body: b"the body",
    })
}

fn strength() -> MachineStrength {
    MachineStrength {
        processor: 250,
        link: 1_000,
    }
}

fn known() -> KnownState {
    KnownState {
        term: 3,
        holdings_version: 17,
        members: 6,
        runners_revision: 65,
        runners_digest: 0x0102_0304_0506_0708,
        lacks_software_versions: false,
    }
}

fn waiting() -> WaitingUnit {
    WaitingUnit {
        requirement: requirement(),
        requests: 4,
        late: 1,
        priority: 2,
    }
}

fn membership(scope: UpdateScope) -> MembershipUpdate {
    let gone = MembershipChange {
        runner: RunnerId::new("i-2"),
        revision: 64,
        summary: None,
    };
    let present = MembershipChange {
        runner: runner(),
        revision: 65,
        summary: Some(RunnerSummary {
            service: ServiceName::new("pool"),
            address: address(9),
            zone: Zone::new("z"),
            slots: 64,
            draining: true,
            cold_ms: 1_500,
            software_version: None,
        }),
    };
    MembershipUpdate {
        after: 60,
        until: 66,
        changes: vec![gone, present],
        scope,
    }
}

fn store_state() -> StoreState {
    StoreState {
        configuration_version: 34,
        membership_revision: 65,
        silence_ms: 120,
        configuration_age_ms: 250,
    }
}

fn evacuations() -> Evacuations {
    Evacuations {
        revision: 61,
        zones: vec![Zone::new("z")],
    }
}

fn quota_news() -> QuotaNews {
    QuotaNews {
        from: address(1),
        keepers: vec![address(1), address(2)],
        daemons: 6,
        limits: vec![TenantLimit {
            tenant: TenantName::new("t"),
            admit: 250,
        }],
    }
}

fn quarantine_entry() -> QuarantineEntry {
    QuarantineEntry {
        fingerprint: fingerprint(),
        step: 3,
        remaining_ms: 20_000,
        kept_ms: 90_000,
    }
}

fn direction() -> Direction {
    Direction {
        term: 3,
        lease: LeaseHeartbeat {
            term: 3,
            renewals: 12,
            age_ms: 300,
        },
        address: address(1),
        daemons: 6,
        strongest: strength(),
        standby: StandbyPlace::Place(1),
        store: store_state(),
        quota: quota_news(),
        evacuations: evacuations(),
        quarantine_digest: 77,
        membership: Some(membership(UpdateScope::Whole { is_last: true })),
        members: Some(vec![address(1), address(2)]),
        relays: Some(vec![address(3)]),
        holdings_after: 15,
        holdings_version: 17,
        holdings: vec![RunnerHoldings {
            runner: runner(),
            holdings: vec![(ModelName::new("m"), vec![AdapterName::new("a1")])],
        }],
        outlooks: vec![UnitOutlook {
            requirement: requirement(),
            ready_in_ms: 2_500,
        }],
        loads: Some(vec![RunnerLoad {
            runner: runner(),
            requests: 40,
        }]),
        store_limits: Some(vec![StoreLimit {
            service: ServiceName::new("pool"),
            loads: 8,
            is_measured: true,
        }]),
    }
}

fn members_messages() -> Vec<Message> {
    vec![
        Message::Usage(Usage {
            from: "d1".to_owned(),
            address: address(2),
            zone: Zone::new("z"),
            strength: strength(),
            is_stopping: true,
            known: known(),
            waiting: vec![waiting()],
            used: vec![UsedUnit {
                requirement: Requirement::anywhere(unit()),
                requests: 9,
            }],
            running: vec![RunningUnit {
                runner: runner(),
                unit: unit(),
                requests: 5,
            }],
        }),
        Message::Waiting(WaitNotice {
            from: "d1".to_owned(),
            known: known(),
            has_gap: true,
            waiting: vec![waiting()],
        }),
        Message::HoldingsSummary(HoldingsSummary {
            from: "d1".to_owned(),
            term: 3,
            digests: HoldingsDigests::for_runners(12),
        }),
        Message::UseReport(UseReport {
            from: address(2),
            life: 99,
            age_ms: 4_000,
            uses: vec![TenantUse {
                tenant: TenantName::new("t"),
                admitted: -5,
                asked: 800,
            }],
        }),
        Message::QuotaQuestions(QuotaQuestions {
            from: address(2),
            requests: vec![QuotaQuestion {
                number: 7,
                tenant: TenantName::new("t"),
                cost: 700,
                rank: 1,
            }],
        }),
        Message::RunReports(vec![
            RunReport {
                fingerprint: fingerprint(),
                outcome: RunOutcome::Crashed(runner()),
                context: None,
            },
            RunReport {
                fingerprint: fingerprint(),
                outcome: RunOutcome::Completed,
                context: None,
            },
        ]),
        Message::PermitQuestions(PermitQuestions {
            from: address(2),
            requests: vec![PermitQuestion {
                number: 8,
                runner: runner(),
                rank: 2,
            }],
        }),
    ]
}

fn keepers_messages() -> Vec<Message> {
    vec![
        Message::Direction(Box::new(direction())),
        Message::LeaseEnded { term: 3 },
        Message::StoreNews(StoreNews {
            from: address(2),
            state: store_state(),
            membership: Some(membership(UpdateScope::Changes)),
            evacuations: evacuations(),
            quarantine_digest: 77,
        }),
        Message::QuotaNews(quota_news()),
        Message::QuotaAnswers(QuotaAnswers {
            from: address(1),
            answers: vec![
                QuotaAnswer {
                    number: 7,
                    grant: Grant::Granted,
                },
                QuotaAnswer {
                    number: 8,
                    grant: Grant::Refused { room_in_ms: 450 },
                },
            ],
        }),
        Message::PermitAnswers(PermitAnswers {
            answers: vec![
                PermitAnswer {
                    number: 8,
                    decision: PermitDecision::Given,
                },
                PermitAnswer {
                    number: 9,
                    decision: PermitDecision::Refused { room_in_ms: 120 },
                },
            ],
        }),
    ]
}

fn other_messages() -> Vec<Message> {
    vec![
        Message::ConfigurationWanted(ConfigurationWanted {
            from: address(2),
            version: 34,
            parts: vec![1, 2],
        }),
        Message::ConfigurationChunk(ConfigurationChunk {
            version: 34,
            parts: vec![PartId {
                digest: 5,
                length: 900,
            }],
            digest: 5,
            offset: 100,
            bytes: vec![1, 2, 3],
        }),
        Message::QuarantineNews(QuarantineNews {
            from: address(1),
            entries: vec![quarantine_entry()],
            wants_answer: true,
        }),
        Message::Forwarded(Forwarded {
            from: address(1),
            to: address(2),
            held_ms: 15,
            is_sought: true,
            message: vec![7, 3, 3],
        }),
        Message::RunnerNotices(RunnerNotices {
            from: address(2),
            notices: vec![
                SharedNotice {
                    runner: runner(),
                    leaves: true,
                    rate: None,
                },
                SharedNotice {
                    runner: runner(),
                    leaves: false,
                    rate: Some(SharedRate {
                        rate_limit: RequestRate::per_second(1.6),
                        age_ms: 40,
                    }),
                },
            ],
        }),
    ]
}

/// All sample messages, each with its kind as labelled in metrics.
pub fn all() -> Vec<(&'static str, Message)> {
    let messages = members_messages().into_iter();
    let messages = messages.chain(keepers_messages()).chain(other_messages());
    messages.map(|message| (message.kind(), message)).collect()
}
