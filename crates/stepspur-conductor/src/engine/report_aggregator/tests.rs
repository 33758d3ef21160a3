use super::*;

fn sums(from: Micros, to: Micros, total: u64) -> ReportSums {
    ReportSums { from, to, total, latency_sum: total as f64 * 10.0, ..ReportSums::default() }
}

/// Guards against lost reports and unbounded memory when reports arrive at twice the limit. The entries are
/// summed, and their periods show the delay.
#[test]
fn reports_beyond_the_limit_are_summed_with_their_periods() {
    let mut aggregator = ReportAggregator::new(10.0, 100_000, 0);
    let key = |k: u8| ReportKey::Upstream { server: ServerId([10, 0, 0, k, 0, 80]), zone: ZoneId(0) };
    let mut passed_on = 0;
    let mut longest_period = 0;
    for round in 1..=100u64 {
        let now = round * 100_000;
        for k in 0..2 {
            aggregator.add(key(k), sums(now - 100_000, now, 1));
        }
        let events = aggregator.take_due(now);
        assert!(events.len() <= 1 && aggregator.len() <= 2);
        for event in events {
            let Event::UpstreamStats { attempts: total, period, latency, .. } = event else {
                panic!("{event:?}")
            };
            assert_eq!((latency, u64::from(total) * 100_000), (10, period));
            passed_on += total;
            longest_period = longest_period.max(period);
        }
    }
    assert!(passed_on >= 197 && longest_period == 200_000, "{passed_on} {longest_period}");
}

/// Otherwise the decision module would receive counts of a proxy that it has removed.
#[test]
fn client_reports_of_a_disconnected_proxy_are_removed() {
    let mut aggregator = ReportAggregator::new(1e6, 10, 0);
    let key = |proxy| ReportKey::Client { proxy: ProxyId(proxy), class: ClassId(0) };
    aggregator.add(key(1), sums(0, 5, 1));
    aggregator.add(key(2), sums(0, 5, 1));
    aggregator.remove_proxy(ProxyId(1));
    let events = aggregator.take_due(20);
    assert!(matches!(events[..], [Event::ClientStats { proxy: ProxyId(2), .. }]), "{events:?}");
}
