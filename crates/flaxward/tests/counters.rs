//! The counters in the log.

use flaxward::counters::totals;

#[test]
fn counters_of_one_name_are_added_up_and_nothing_else_is_taken() {
    let page = "# TYPE flaxward_gateway_refused_total counter\n\
                flaxward_gateway_refused_total{code=\"2001\"} 3\n\
                flaxward_gateway_refused_total{code=\"2002\"} 4\n\
                # TYPE flaxward_gateway_waiting gauge\n\
                flaxward_gateway_waiting 9\n";
    assert_eq!(
        totals(page),
        [("flaxward_gateway_refused_total".to_owned(), 7)]
    );
}
