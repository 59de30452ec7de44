//! Which requests have the same fingerprint.

use flaxward_routing::fingerprint::{RequestContent, RequestFingerprint};
use flaxward_routing::names::TenantName;

const CONTENT: RequestContent<'static> = RequestContent {
    method: "POST",
    host: "a.example",
    target: "/path?query",
    tenant: None,
    body: b"body",
};

#[test]
fn retries_of_one_request_have_the_same_fingerprint() {
    assert_eq!(
        RequestFingerprint::of(&CONTENT),
        RequestFingerprint::of(&CONTENT.clone())
    );
}

#[test]
fn each_part_of_a_request_changes_the_fingerprint() {
    let tenant = TenantName::new("t");
    let others = [
        RequestContent {
            method: "PUT",
            ..CONTENT
        },
        RequestContent {
            host: "b.example",
            ..CONTENT
        },
        RequestContent {
            target: "/path",
            ..CONTENT
        },
        RequestContent {
            tenant: Some(&tenant),
            ..CONTENT
        },
        RequestContent {
            body: b"",
            ..CONTENT
        },
        // The same bytes, with the boundary between two fields elsewhere.
        RequestContent {
            host: "a.example/path",
            target: "?query",
            ..CONTENT
        },
        RequestContent {
            target: "/path?querybody",
            body: b"",
            ..CONTENT
        },
    ];
    for other in others {
        assert_ne!(
            RequestFingerprint::of(&other),
            RequestFingerprint::of(&CONTENT),
            "{other:?}"
        );
    }
}

/// Guards against a caller whose request has the fingerprint of a part that others share.
#[test]
fn a_part_and_a_request_have_different_fingerprints() {
    let request = RequestFingerprint::of(&RequestContent {
        method: "",
        host: "",
        target: "",
        tenant: None,
        body: &7_u64.to_le_bytes(),
    });
    assert_ne!(request, RequestFingerprint::of_part(7));
}
