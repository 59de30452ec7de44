//! Strategies for the shared types.

use std::fmt::Debug;
use std::str::FromStr;

use bytesize::ByteSize;
use flaxward_types::configuration::{
    AdapterSpec, CopyRule, DrainSpec, ModelSpec, PolicySpec, ServiceSpec, VersionSpec,
};
use flaxward_types::engine::{
    CacheEvent, Held, HeldState, Inventory, LoadReport, Machine, MachineRole, Order, OrderAction,
    OrderAnswer,
};
use flaxward_types::records::{
    Claim, ClaimOutcome, Quota, QuotaSubject, Slot, ZoneLease, ZonePlacement,
};
use flaxward_types::routing::{AnswerVersion, Demand, Outlook, Replica, RouteAnswer};
use flaxward_types::{
    ArtifactId, AttemptId, BootId, ConfigurationItem, ItemKey, ModelRef, OrderId, Refusal,
    ResultCode, Revision, Term,
};
use proptest::collection::{btree_map, btree_set, vec};
use proptest::option;
use proptest::prelude::*;
use proptest::sample::select;

/// Longest list drawn; longer ones find nothing more and take longer.
const LIST: usize = 3;

/// Any valid name.
pub fn name<T: FromStr<Err: Debug> + Debug>() -> impl Strategy<Value = T> {
    "[a-z0-9][a-z0-9._-]{0,62}".prop_map(|text| text.parse().expect("the text is a name"))
}

pub fn model_ref() -> impl Strategy<Value = ModelRef> {
    (name(), option::of(name()), option::of(name())).prop_map(|(model, adapter, version)| {
        ModelRef {
            model,
            adapter,
            version,
        }
    })
}

pub fn artifact() -> impl Strategy<Value = ArtifactId> {
    (name(), name(), option::of(name())).prop_map(|(model, version, adapter)| ArtifactId {
        model,
        version,
        adapter,
    })
}

pub fn item_key() -> impl Strategy<Value = ItemKey> {
    prop_oneof![
        name().prop_map(ItemKey::Model),
        (name(), name()).prop_map(|(model, version)| ItemKey::Version(model, version)),
        (name(), name()).prop_map(|(model, adapter)| ItemKey::Adapter(model, adapter)),
        name().prop_map(ItemKey::Service),
        name().prop_map(ItemKey::Drain),
        Just(ItemKey::Policy),
    ]
}

pub fn result_code() -> impl Strategy<Value = ResultCode> {
    select(ResultCode::ALL)
}

fn size() -> impl Strategy<Value = ByteSize> {
    any::<u64>().prop_map(ByteSize)
}

fn copy_rule() -> impl Strategy<Value = CopyRule> {
    (any::<u32>(), any::<u32>(), btree_set(name(), 0..LIST)).prop_map(
        |(at_least, at_most, zones)| CopyRule {
            at_least,
            at_most,
            zones,
        },
    )
}

fn model_spec() -> impl Strategy<Value = ModelSpec> {
    (name(), copy_rule(), any::<u8>(), any::<u32>()).prop_map(
        |(serving, copies, priority, queue_limit)| ModelSpec {
            serving,
            copies,
            priority,
            queue_limit,
        },
    )
}

fn policy_spec() -> impl Strategy<Value = PolicySpec> {
    (0.0..=1.0, any::<u32>(), 0.0..1e6, any::<(u64, u64)>()).prop_map(
        |(cold_start_weight, weight_store_parallel, weight_store_per_second, keep_alive)| {
            PolicySpec {
                cold_start_weight,
                weight_store_parallel,
                weight_store_per_second,
                keep_alive_min_ms: keep_alive.0,
                keep_alive_max_ms: keep_alive.1,
            }
        },
    )
}

pub fn item() -> impl Strategy<Value = ConfigurationItem> {
    let version = (any::<String>(), size(), size()).prop_map(|(checkpoint, weights, kv_cache)| {
        ConfigurationItem::Version(VersionSpec {
            checkpoint,
            weights,
            kv_cache,
        })
    });
    let adapter =
        (any::<String>(), size(), any::<u32>()).prop_map(|(checkpoint, weights, at_most)| {
            ConfigurationItem::Adapter(AdapterSpec {
                checkpoint,
                weights,
                at_most,
            })
        });
    prop_oneof![
        model_spec().prop_map(ConfigurationItem::Model),
        version,
        adapter,
        any::<u32>()
            .prop_map(|concurrency| ConfigurationItem::Service(ServiceSpec { concurrency })),
        any::<String>().prop_map(|reason| ConfigurationItem::Drain(DrainSpec { reason })),
        policy_spec().prop_map(ConfigurationItem::Policy),
    ]
}

pub fn order() -> impl Strategy<Value = Order> {
    let action = prop_oneof![
        Just(OrderAction::Seal),
        (artifact(), any::<String>(), any::<u64>()).prop_map(|(artifact, checkpoint, bytes)| {
            OrderAction::Load {
                artifact,
                checkpoint,
                bytes,
            }
        }),
        artifact().prop_map(|artifact| OrderAction::Unload { artifact }),
    ];
    (any::<u128>(), any::<(u64, u64)>(), action).prop_map(|(id, (term, boot), action)| Order {
        id: OrderId(id),
        term: Term(term),
        boot: BootId(boot),
        action,
    })
}

fn held() -> impl Strategy<Value = Held> {
    let states = vec![
        HeldState::Loading,
        HeldState::Ready,
        HeldState::Unloading,
        HeldState::Failed,
    ];
    (artifact(), any::<u64>(), select(states)).prop_map(|(artifact, bytes, state)| Held {
        artifact,
        bytes,
        state,
    })
}

pub fn inventory() -> impl Strategy<Value = Inventory> {
    let numbers = any::<[u64; 4]>();
    let weights = (vec(artifact(), 0..LIST), vec(artifact(), 0..LIST));
    (numbers, vec(held(), 0..LIST), weights, any::<bool>()).prop_map(
        |([boot, term, sequence, memory], artifacts, (in_memory, on_disk), leaving)| Inventory {
            boot: BootId(boot),
            term: Term(term),
            sequence,
            memory,
            artifacts,
            in_memory,
            on_disk,
            leaving,
        },
    )
}

pub fn order_answer() -> impl Strategy<Value = OrderAnswer> {
    prop_oneof![
        inventory().prop_map(OrderAnswer::Accepted),
        any::<u64>().prop_map(|highest| OrderAnswer::StaleTerm {
            highest: Term(highest),
        }),
        any::<u64>().prop_map(|boot| OrderAnswer::OtherBoot { boot: BootId(boot) }),
        any::<u64>().prop_map(|free| OrderAnswer::NoMemory { free }),
        any::<String>().prop_map(|reason| OrderAnswer::Refused { reason }),
    ]
}

pub fn load_report() -> impl Strategy<Value = LoadReport> {
    any::<(u32, u32, u64, u64, bool)>().prop_map(
        |(running, waiting, kv_tokens, age_ms, leaving)| LoadReport {
            running,
            waiting,
            kv_tokens,
            age_ms,
            leaving,
        },
    )
}

pub fn cache_event() -> impl Strategy<Value = CacheEvent> {
    any::<(u64, u64, bool)>().prop_map(|(sequence, prefix, stored)| CacheEvent {
        sequence,
        prefix,
        stored,
    })
}

pub fn machine() -> impl Strategy<Value = Machine> {
    let role = prop_oneof![
        Just(MachineRole::Engine),
        name().prop_map(MachineRole::Service),
    ];
    (name(), name(), any::<String>(), role, any::<bool>()).prop_map(
        |(name, zone, address, role, leaving)| Machine {
            name,
            zone,
            address,
            role,
            leaving,
        },
    )
}

pub fn lease() -> impl Strategy<Value = ZoneLease> {
    (option::of(name()), any::<[u64; 3]>()).prop_map(|(holder, [term, duration_ms, renewals])| {
        ZoneLease {
            holder,
            term: Term(term),
            duration_ms,
            renewals,
        }
    })
}

pub fn placement() -> impl Strategy<Value = ZonePlacement> {
    let slot = (artifact(), name()).prop_map(|(artifact, runner)| Slot { artifact, runner });
    (any::<u64>(), vec(slot, 0..LIST)).prop_map(|(term, slots)| ZonePlacement {
        term: Term(term),
        slots,
    })
}

pub fn quota() -> impl Strategy<Value = Quota> {
    let subject = prop_oneof![
        name().prop_map(QuotaSubject::Model),
        (name(), name()).prop_map(|(model, adapter)| QuotaSubject::Adapter(model, adapter)),
        Just(QuotaSubject::WeightStore),
    ];
    let units = || btree_map(name(), any::<u32>(), 0..LIST);
    let terms = btree_map(name(), any::<u64>().prop_map(Term), 0..LIST);
    let numbers = any::<(u32, u64)>();
    (subject, numbers, units(), units(), terms).prop_map(
        |(subject, (limit, rule), units, wanted, terms)| Quota {
            subject,
            limit,
            units,
            wanted,
            rule: Revision(rule),
            terms,
        },
    )
}

fn claim_outcome() -> impl Strategy<Value = ClaimOutcome> {
    let answered = (any::<u16>(), any::<String>(), any::<Option<String>>());
    prop_oneof![
        Just(ClaimOutcome::InProgress),
        answered.prop_map(|(status, content_type, body)| ClaimOutcome::Answered {
            status,
            content_type,
            body,
        }),
        result_code().prop_map(ClaimOutcome::NotRun),
        Just(ClaimOutcome::Unknown),
    ]
}

pub fn claim() -> impl Strategy<Value = Claim> {
    let head = (any::<String>(), any::<u128>(), name());
    (head, any::<(u64, u64)>(), claim_outcome()).prop_map(
        |((request_digest, attempt, daemon), (expires_unix, abandoned_unix), outcome)| Claim {
            request_digest,
            attempt: AttemptId(attempt),
            daemon,
            expires_unix,
            abandoned_unix,
            outcome,
        },
    )
}

pub fn refusal() -> impl Strategy<Value = Refusal> {
    (
        result_code(),
        any::<String>(),
        any::<Option<std::time::Duration>>(),
    )
        .prop_map(|(code, detail, retry_after)| Refusal {
            code,
            detail,
            retry_after,
        })
}

pub fn demand() -> impl Strategy<Value = Demand> {
    let known = any::<Option<(u64, u64)>>().prop_map(|known| {
        known.map(|(term, sequence)| AnswerVersion {
            term: Term(term),
            sequence,
        })
    });
    (artifact(), any::<[u32; 3]>(), any::<(u8, u64)>(), known).prop_map(
        |(artifact, [waiting, running, arrivals], (priority, earliest_deadline_ms), known)| {
            Demand {
                artifact,
                waiting,
                running,
                priority,
                earliest_deadline_ms,
                arrivals,
                known,
            }
        },
    )
}

pub fn route_answer() -> impl Strategy<Value = RouteAnswer> {
    let replica =
        (name(), any::<String>(), any::<u32>()).prop_map(|(runner, address, outstanding)| {
            Replica {
                runner,
                address,
                outstanding,
            }
        });
    let outlook = prop_oneof![
        Just(Outlook::Ready),
        any::<u64>().prop_map(|estimate_ms| Outlook::Loading { estimate_ms }),
        vec(name(), 0..LIST).prop_map(|zones| Outlook::Elsewhere { zones }),
        (result_code(), any::<u64>()).prop_map(|(code, retry_after_ms)| Outlook::Refused {
            code,
            retry_after_ms,
        }),
    ];
    let numbers = any::<(u64, u64)>();
    (artifact(), name(), numbers, vec(replica, 0..LIST), outlook).prop_map(
        |(artifact, zone, (term, sequence), ready, outlook)| RouteAnswer {
            artifact,
            zone,
            term: Term(term),
            sequence,
            ready,
            outlook,
        },
    )
}
