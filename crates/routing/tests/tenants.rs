//! Tenants and their keys.

use std::sync::Arc;

use flaxward_routing::homes::Homes;
use flaxward_routing::names::TenantName;
use flaxward_routing::tenants::{
    KeyDigest, Quota, QuotaUnit, Tenant, TenantError, TenantKeys, Tenants,
};

fn tenant(name: &str, keys: &[&str], rate: f64, burst: f64) -> TenantKeys {
    TenantKeys {
        tenant: Arc::new(Tenant {
            name: TenantName::new(name),
            priority: None,
            quota: Some(Quota {
                unit: QuotaUnit::Requests,
                rate,
                burst,
            }),
            homes: Homes::Anywhere,
        }),
        keys: keys
            .iter()
            .map(|key| KeyDigest::of(key.as_bytes()))
            .collect(),
    }
}

#[test]
fn a_key_finds_its_tenant_and_no_other() {
    let list = vec![
        tenant("a", &["k1", "k2"], 1.0, 1.0),
        tenant("b", &["k3"], 1.0, 1.0),
    ];
    let tenants = Tenants::new(list).unwrap();
    let holder = |key: &str| {
        let holder = tenants.find_by_key(&KeyDigest::of(key.as_bytes()));
        holder.map(|tenant| tenant.name.to_string())
    };
    assert_eq!(holder("k2").as_deref(), Some("a"));
    assert_eq!(holder("k3").as_deref(), Some("b"));
    assert_eq!(holder("k"), None);
    assert_eq!(holder(""), None);
}

#[test]
fn conflicting_tenants_are_rejected() {
    let shared = vec![tenant("a", &["k"], 1.0, 1.0), tenant("b", &["k"], 1.0, 1.0)];
    let shared = Tenants::new(shared).unwrap_err();
    assert!(matches!(shared, TenantError::DuplicateKey { .. }));
    assert!(!shared.to_string().contains("\"k\""));
    let same = vec![tenant("a", &["1"], 1.0, 1.0), tenant("a", &["2"], 1.0, 1.0)];
    assert_eq!(
        Tenants::new(same).unwrap_err(),
        TenantError::DuplicateName(TenantName::new("a"))
    );
    for (rate, burst) in [
        (-1.0, 0.0),
        (1.0, -1.0),
        (f64::NAN, 0.0),
        (1.0, f64::INFINITY),
    ] {
        let bad = Tenants::new(vec![tenant("a", &[], rate, burst)]);
        assert!(matches!(bad, Err(TenantError::InvalidQuota { .. })));
    }
}

#[test]
fn a_key_is_never_displayed() {
    let digest = KeyDigest::of(b"secret-key");
    let shown = format!("{digest} {digest:?}");
    assert!(!shown.contains("secret"));
    assert_eq!(format!("{digest}").len(), 8);
}

#[test]
fn the_cost_of_a_request_depends_on_the_unit() {
    let tokens = QuotaUnit::Tokens { plain: 200 };
    assert_eq!(tokens.cost(Some((1_460, 80))), 1_540);
    assert_eq!(tokens.cost(None), 200);
    assert_eq!(tokens.cost(Some((u32::MAX, 1))), u32::MAX);
    assert_eq!(QuotaUnit::Requests.cost(Some((1_460, 80))), 1);
}
