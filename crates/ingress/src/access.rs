//! Access control: identifies the tenant by the request's key and enforces the tenant's quota.

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
use crate::keeper_client::ANSWER_TIMEOUT;
use crate::refused::Refused;
use crate::state::Shared;

/// Retry delay sent if this daemon cannot tell which keys are valid; the retry is expected to reach
/// another daemon.
const RETRY_UNCONFIRMED: Duration = Duration::from_millis(50);

/// The tenant that owns a request's key; `None` if the request needs no key.
///
/// # Errors
/// Refuses a request without a valid key. While this daemon does not know whether its configuration
/// is still the newest, it can neither accept a key that may have been revoked nor deny one that
/// may have been added.
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

/// The tenant whose home regions restrict a request. Applies also to public routes, if the request
/// has a valid key.
pub(crate) fn restricting_tenant(
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

/// Units that a request has taken from its tenant's quota.
#[derive(Debug)]
pub(crate) struct Charge {
    tenant: TenantName,
    cost: u32,
}

impl Charge {
    /// Counts the outcome by tenant; the number of labels is bounded by the configuration.
    fn record(&self, outcome: &'static str) {
        let tenant = self.tenant.to_string();
        metrics::counter!(QUOTA_UNITS.name, "tenant" => tenant, "outcome" => outcome)
            .increment(u64::from(self.cost));
    }

    /// Refunds the charge, because the request has definitely not run.
    pub(crate) fn give_back(self, shared: &Shared) {
        let now = shared.now();
        shared.tables().quota.refund(&self.tenant, self.cost, now);
        self.record("returned");
    }
}

/// Charges the cost of a request to its tenant's quota.
///
/// # Errors
/// Refuses the request if the tenant's quota is exhausted.
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
    let decision = match admit(shared, tenant, cost) {
        QuotaDecision::Ask(keeper) => ask(shared, &charge, route.priority, keeper).await,
        decided => decided,
    };
    let QuotaDecision::Refused { retry_after, basis } = decision else {
        charge.record("admitted");
        return Ok(charge);
    };
    charge.record("refused");
    let basis = match basis {
        RefusalBasis::Keeper => "by the keeper".to_owned(),
        RefusalBasis::LastAnnouncedShare { admit } => {
            format!("no answer from the keeper, {admit} of 1000 admitted")
        }
        RefusalBasis::LocalShare => "no keeper known, local share exhausted".to_owned(),
    };
    let reason = format!("quota of {}: {cost} refused, {basis}", tenant.name);
    let refusal = Refusal::new(ResultCode::QuotaExceeded).with_retry_after(retry_after);
    Err(refused(&profile.id, route, refusal, reason))
}

/// Decides locally, or names the keeper to ask.
fn admit(shared: &Shared, tenant: &Tenant, cost: u32) -> QuotaDecision {
    let now = shared.now();
    let mut tables = shared.tables();
    let decision = tables.quota.admit(tenant, cost, rand::random(), now);
    let is_due = tables.quota.report_due_at() <= now;
    drop(tables);
    if is_due {
        shared.keeper_wake.notify_one();
    }
    decision
}

/// Asks the keeper to decide; on a time-out, decides by the keeper's last announced share.
async fn ask(shared: &Shared, charge: &Charge, rank: u8, keeper: SocketAddr) -> QuotaDecision {
    let question = shared.quota_questions.ask(keeper, |number| QuotaQuestion {
        number,
        tenant: charge.tenant.clone(),
        cost: charge.cost,
        rank,
    });
    shared.keeper_wake.notify_one();
    let answer = timeout(ANSWER_TIMEOUT, question.answer()).await;
    let (tenant, cost) = (&charge.tenant, charge.cost);
    let now = shared.now();
    let mut tables = shared.tables();
    match answer {
        Ok(Some(grant)) => tables.quota.on_answer(tenant, cost, keeper, grant),
        Ok(None) | Err(_) => tables.quota.on_timeout(tenant, cost, rand::random(), now),
    }
}
