//! Tests which answers are given up because their callers do not take them.

use sassafrasproxy_core::StalledDeliveries;

/// Guards against giving up the answer of a caller that only waits for a lost packet, or that reads
/// slowly, and against keeping that of one that reads nothing.
#[test]
fn only_long_stalls_are_overdue() {
    let mut stalled = StalledDeliveries::default();
    stalled.record_stall(0, 1);
    stalled.record_stall(0, 2);
    stalled.record_stall(400_000, 3);
    assert_eq!(stalled.overdue(400_000), Vec::<u64>::new());
    stalled.end_stall(2);
    stalled.record_stall(450_000, 2);
    // A stall that goes on does not begin anew.
    stalled.record_stall(450_000, 1);
    assert_eq!(stalled.overdue(800_000), vec![1]);
    assert_eq!(stalled.overdue(800_000), vec![1], "it has not ended yet");
    stalled.end_stall(1);
    assert_eq!(stalled.overdue(800_000), Vec::<u64>::new());
}
