//! The story of a request from the logs of several daemons.

use flaxward::explain::story;

fn log(text: &str) -> Vec<String> {
    text.lines().map(str::to_owned).collect()
}

const LOG: &str = "\
time=2026-08-23T04:22:01.000+00:00 level=info event=lease-lost term=1
time=2026-08-23T04:22:05.000+00:00 level=info event=order-sent runner=r1 operation=load unit=s/m reason=Demand term=1
time=2026-08-23T04:22:05.500+00:00 level=info event=order-sent runner=r2 operation=load unit=s/other reason=Demand term=1
time=2026-08-23T04:22:06.100+00:00 level=info event=request-served request=b route=r runner=r1 status=200 after_ms=5
time=2026-08-23T04:22:06.400+00:00 level=info event=request-refused request=a route=r code=2001 reason=\"s/m/a7 is not ready in time\" sent=0 runs=0 after_ms=900 retry_after_ms=900
time=2026-08-23T04:22:06.200+00:00 level=info event=coordinator-known term=2
time=2026-08-23T04:22:09.000+00:00 level=info event=lease-lost term=2
";

#[test]
fn a_refusal_is_told_with_the_orders_for_its_model_and_the_coordinators() {
    let told = story(&log(LOG), "a");
    let events: Vec<&str> = told
        .iter()
        .map(|line| {
            line.split("event=")
                .nth(1)
                .unwrap()
                .split(' ')
                .next()
                .unwrap()
        })
        .collect();
    assert_eq!(
        events,
        ["order-sent", "coordinator-known", "request-refused"]
    );
    assert!(told[0].contains("unit=s/m "));
}

#[test]
fn an_unknown_request_has_no_story() {
    assert!(story(&log(LOG), "c").is_empty());
    assert!(story(&log("no line of a log\n"), "a").is_empty());
}
