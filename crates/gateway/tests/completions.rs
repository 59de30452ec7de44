//! Completions against stub engines: streams that break, gap and resume.

#[path = "support/store.rs"]
mod store;
mod support;

use std::collections::BTreeSet;

use flaxward_types::routing::Outlook;
use serde_json::json;
use support::{Behaviour, Bench, Stub, code_of, read, tokens_of};

#[tokio::test]
async fn a_stream_arrives_whole_whatever_one_engine_does() {
    let tokens = 20;
    let cases = [
        ("whole", vec![Behaviour::Stream { tokens }], vec![0]),
        (
            "broken off at the start",
            vec![
                Behaviour::BreakAt { token: 0, tokens },
                Behaviour::Stream { tokens },
            ],
            vec![0, 0],
        ),
        (
            "broken off in the middle",
            vec![
                Behaviour::BreakAt { token: 7, tokens },
                Behaviour::Stream { tokens },
            ],
            vec![0, 7],
        ),
        (
            "broken off twice",
            vec![
                Behaviour::BreakAt { token: 7, tokens },
                Behaviour::BreakAt { token: 9, tokens },
                Behaviour::Stream { tokens },
            ],
            vec![0, 7, 9],
        ),
        (
            "gap",
            vec![
                Behaviour::SkipAt { token: 7, tokens },
                Behaviour::Stream { tokens },
            ],
            vec![0, 7],
        ),
        (
            "ended without its end mark",
            vec![Behaviour::CutAt { token: 7 }, Behaviour::Stream { tokens }],
            vec![0, 7],
        ),
        (
            "resumed from the start",
            vec![
                Behaviour::BreakAt { token: 7, tokens },
                Behaviour::IgnoreResume { tokens },
            ],
            vec![0, 7],
        ),
        (
            "refused before running",
            vec![Behaviour::Refuse, Behaviour::Stream { tokens }],
            vec![0, 0],
        ),
    ];
    for (name, script, resumed) in cases {
        let mut bench = Bench::start(|settings| {
            settings.admission.avoid_period = std::time::Duration::from_millis(10);
        })
        .await;
        let engine = Stub::start(&script).await;
        bench.answer_demands(&[&engine], &Outlook::Ready);
        let body = json!({"model": "turbine", "prompt": "why", "stream": true});
        let (status, _, text) = read(bench.complete(&body)).await;
        let (indices, is_ended) = tokens_of(&text);
        assert_eq!(status, 200, "{name}: {text}");
        assert_eq!(indices, (0..tokens).collect::<Vec<_>>(), "{name}: {text}");
        assert!(is_ended, "{name}");
        let seen = engine.requests();
        let header = |seen: &support::Seen, name: &str| seen.headers.get(name).cloned();
        let resume: Vec<u64> = seen
            .iter()
            .map(|seen| header(seen, "x-flaxward-resume-from"))
            .map(|index| index.map_or(0, |index| index.parse().unwrap()))
            .collect();
        assert_eq!(resume, resumed, "{name}");
        let ids: BTreeSet<_> = seen
            .iter()
            .map(|seen| header(seen, "x-flaxward-attempt"))
            .collect();
        assert_eq!(ids.len(), seen.len(), "{name}: each attempt has its own id");
        let sent: serde_json::Value = serde_json::from_str(&seen[0].body).unwrap();
        assert_eq!(sent["model"], "turbine@v1", "{name}");
    }
}

#[tokio::test]
async fn a_stream_that_cannot_go_on_ends_in_a_stated_error() {
    let mut bench = Bench::start(|settings| {
        settings.admission.avoid_period = std::time::Duration::from_millis(10);
    })
    .await;
    let engine = Stub::start(&[Behaviour::BreakAt {
        token: 3,
        tokens: 9,
    }])
    .await;
    bench.answer_demands(&[&engine], &Outlook::Ready);
    let body = json!({"model": "turbine", "prompt": "why", "stream": true});
    let (status, _, text) = read(bench.complete(&body)).await;
    let (indices, is_ended) = tokens_of(&text);
    assert_eq!((status, indices, is_ended), (200, vec![0, 1, 2], false));
    assert!(text.contains("event: error\n"));
    assert_eq!(code_of(&text), Some(3003), "{text}");
}
