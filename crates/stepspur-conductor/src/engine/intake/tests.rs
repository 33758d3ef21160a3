use super::*;

fn counts(from: Micros, to: Micros, total: u64) -> Counts {
    Counts { from, to, total, time: total as f64 * 10.0, ..Counts::default() }
}

/// Twice what is looked at comes in: nothing is lost, memory stays bounded, and the spans tell the delay.
#[test]
fn what_is_not_looked_at_adds_up_and_covers_its_time() {
    let mut intake = ReportAggregator::new(10.0, 100_000, 0);
    let key = |k: u8| Key::Met(ServerId([10, 0, 0, k, 0, 80]), ZoneId(0));
    let (mut seen, mut longest) = (0, 0);
    for round in 1..=100u64 {
        let now = round * 100_000;
        (0..2).for_each(|k| intake.add(key(k), counts(now - 100_000, now, 1)));
        let events = intake.take(now);
        assert!(events.len() <= 1 && intake.len() <= 2);
        for event in events {
            let Event::UpstreamStats { total, period, latency, .. } = event else { panic!("{event:?}") };
            assert_eq!((latency, u64::from(total) * 100_000), (10, period));
            (seen, longest) = (seen + total, longest.max(period));
        }
    }
    assert!(seen >= 197 && longest == 200_000, "{seen} {longest}");
}

#[test]
fn a_proxy_that_left_is_no_news() {
    let mut intake = ReportAggregator::new(1e6, 10, 0);
    intake.add(Key::Came(ProxyId(1), ClassId(0)), counts(0, 5, 1));
    intake.add(Key::Came(ProxyId(2), ClassId(0)), counts(0, 5, 1));
    intake.forget(ProxyId(1));
    let events = intake.take(20);
    assert!(matches!(events[..], [Event::ClientStats { proxy: ProxyId(2), .. }]), "{events:?}");
}
