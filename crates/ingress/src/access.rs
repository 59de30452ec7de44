//! Who may send a request: the tenant that holds its key, and whether the tenant's quota has room.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use flaxward_routing::configuration::{Configuration, Route};
use flaxward_routing::names::TenantName;
use flaxward_routing::quota::QuotaQuestion;
use flaxward_routing::quota::meter::{QuotaDecision, RefusalBasis};
use flaxward_routing::request::RequestProfile;
use flaxward_routing::tenants::Tenant;
use flaxward_types::ResultCode;
use flaxward_types::refusal::Refusal;
use http::HeaderMap;
use tokio::time::timeout;

use crate::counters::QUOTA_UNITS;
use crate::refused::Refused;
use crate::state::Shared;

/// When to come back, to another daemon, if this one cannot tell which keys hold.
const RETRY_UNCONFIRMED: Duration = Duration::from_millis(50);

/// The tenant that holds a request's key; `None` if the request needs no key.
///
/// # Errors
/// Refuses a request without a key that holds. While this daemon does not know whether its configuration is still
/// the newest, it can neither serve a key that may have been taken away nor deny one that may have been added.
pub(crate) fn tenant(
    shared: &Shared,
    configuration: &Configuration,
    route: &Route,
    id: &str,
    headers: &HeaderMap,
) -> Result<Option<Arc<Tenant>>, Refused> {
    if route.is_public || configuration.tenants().is_empty() {
        return Ok(None);
    }
    let key = shared.surface.key(headers);
    let holder = key.and_then(|key| configuration.tenants().find_by_key(&key));
    let trust = shared.settings.key_trust;
    let is_trusted = match (holder, key) {
        (Some(_), _) => shared.is_configuration_within(trust.known),
        (None, Some(_)) => shared.is_configuration_within(trust.unknown),
        (None, None) => true,
    };
    match holder {
        Some(tenant) if is_trusted => Ok(Some(tenant.clone())),
        None if is_trusted => Err(denied(configuration, route, id, key.as_ref())),
        _ => Err(unconfirmed(shared, configuration, route, id)),
    }
}

/// The tenant whose homes bind a request: also where the route needs no key, if the request has one that holds.
pub(crate) fn bound_by(
    shared: &Shared,
    configuration: &Configuration,
    headers: &HeaderMap,
) -> Option<Arc<Tenant>> {
    let key = shared.surface.key(headers)?;
    configuration.tenants().find_by_key(&key).cloned()
}

fn denied(
    configuration: &Configuration,
    route: &Route,
    id: &str,
    key: Option<&impl Display>,
) -> Refused {
    let reason = match key {
        Some(key) => format!(
            "no tenant holds the key {key} in version {}",
            configuration.version
        ),
        None => "no key".to_owned(),
    };
    refused(id, route, Refusal::new(ResultCode::UnknownKey), reason)
}

fn unconfirmed(shared: &Shared, configuration: &Configuration, route: &Route, id: &str) -> Refused {
    let age = match shared.configuration_age() {
        Some(age) => format!("{} ms ago", age.as_millis()),
        None => "never".to_owned(),
    };
    let reason = format!("version {} was last confirmed {age}", configuration.version);
    let refusal = Refusal::new(ResultCode::KeysUnconfirmed).with_retry_after(RETRY_UNCONFIRMED);
    refused(id, route, refusal, reason)
}

fn refused(id: &str, route: &Route, refusal: Refusal, reason: String) -> Refused {
    Refused::unsent(id, route.name.as_str(), refusal, reason)
}

/// What a request has taken of its tenant's quota.
#[derive(Debug)]
pub(crate) struct Charge {
    tenant: TenantName,
    cost: u32,
}

impl Charge {
    /// Counts what has become of it, by tenant: there are as many as the configuration names.
    fn record(&self, outcome: &'static str) {
        let tenant = self.tenant.to_string();
        metrics::counter!(QUOTA_UNITS.name, "tenant" => tenant, "outcome" => outcome)
            .increment(u64::from(self.cost));
    }

    /// Gives it back, because the request has surely not run.
    pub(crate) fn give_back(self, shared: &Shared) {
        let now = shared.now();
        shared.tables().quota.refund(&self.tenant, self.cost, now);
        self.record("returned");
    }
}

/// Longest time for an answer of the keeper: a message each way, and the longest plan of a coordinator.
const ANSWER_TIME: Duration = Duration::from_millis(80);

/// Takes what a request counts from its tenant's quota.
///
/// # Errors
/// Refuses it if the tenant has used its quota up.
pub(crate) async fn charge(
    shared: &Shared,
    tenant: &Tenant,
    route: &Route,
    profile: &RequestProfile,
) -> Result<Charge, Refused> {
    let cost = tenant
        .quota
        .map_or(0, |quota| quota.unit.cost(profile.tokens()));
    let charge = Charge {
        tenant: tenant.name.clone(),
        cost,
    };
    let verdict = match admit(shared, tenant, cost) {
        QuotaDecision::Ask(keeper) => ask(shared, &charge, route.priority, keeper).await,
        decided => decided,
    };
    let QuotaDecision::Refused { retry_after, basis } = verdict else {
        charge.record("admitted");
        return Ok(charge);
    };
    charge.record("refused");
    let basis = match basis {
        RefusalBasis::Keeper => "by the keeper".to_owned(),
        RefusalBasis::LastAnnouncedShare { admit } => {
            format!("no answer, {admit} of 1000 are admitted")
        }
        RefusalBasis::LocalShare => "no keeper is heard, and the own share is used up".to_owned(),
    };
    let reason = format!("quota of {}: {cost} refused, {basis}", tenant.name);
    let refusal = Refusal::new(ResultCode::QuotaExceeded).with_retry_after(retry_after);
    Err(refused(&profile.id, route, refusal, reason))
}

/// What this daemon decides by itself.
fn admit(shared: &Shared, tenant: &Tenant, cost: u32) -> QuotaDecision {
    let now = shared.now();
    let mut tables = shared.tables();
    let verdict = tables.quota.admit(tenant, cost, rand::random(), now);
    let is_due = tables.quota.report_due_at() <= now;
    drop(tables);
    if is_due {
        shared.keeper_wake.notify_one();
    }
    verdict
}

/// What the keeper decides, or else this daemon by what the keeper has told before.
async fn ask(shared: &Shared, charge: &Charge, rank: u8, keeper: SocketAddr) -> QuotaDecision {
    let question = shared.quota_questions.ask(keeper, |number| QuotaQuestion {
        number,
        tenant: charge.tenant.clone(),
        cost: charge.cost,
        rank,
    });
    shared.keeper_wake.notify_one();
    let answer = timeout(ANSWER_TIME, question.answer()).await;
    let (tenant, cost) = (&charge.tenant, charge.cost);
    let now = shared.now();
    let mut tables = shared.tables();
    match answer {
        Ok(Some(grant)) => tables.quota.on_answer(tenant, cost, keeper, grant),
        Ok(None) | Err(_) => tables.quota.on_timeout(tenant, cost, rand::random(), now),
    }
}
