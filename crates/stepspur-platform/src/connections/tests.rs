use super::*;

fn connections(budget: Budget) -> (Connections, Instant) {
    (Connections::new(budget), Instant::now())
}

#[test]
fn all_proxies_fit_beside_pending_connections() {
    let budget = Budget::of(256, 16, 150, 3).unwrap();
    assert!(budget.all >= 153 + budget.pending && budget.all + 16 + OWN <= 256, "{budget:?}");
    assert_eq!(Budget::of(30, 16, 150, 3), None);
}

/// Hundreds that say nothing come at once; a proxy that came among them has its moment to say who it is.
#[test]
fn a_flood_of_pending_connections_waits_and_takes_no_proxy_its_place() {
    let (connections, start) = connections(Budget { all: 10, pending: 3 });
    let cuts: Vec<_> = (0..3).map(|_| CancellationToken::new()).collect();
    for (k, cut) in cuts.iter().enumerate() {
        assert_eq!(connections.room(start), None);
        connections.came(StreamId(k as u64), start, cut.clone());
    }
    assert!(connections.room(start).is_some() && !cuts.iter().any(|cut| cut.is_cancelled()));
    connections.joined(StreamId(0));
    assert_eq!(connections.room(start), None, "one has joined: there is room");
    connections.came(StreamId(3), start + BRIEF, CancellationToken::new());
    assert!(connections.room(start + BRIEF).is_some());
    assert_eq!(cuts.iter().map(|cut| cut.is_cancelled()).collect::<Vec<_>>(), [false, true, false]);
    connections.left(StreamId(1));
    assert_eq!(connections.room(start + BRIEF), None);
}

/// A machine that vanished says nothing, and its descriptor is needed.
#[test]
fn silent_streams_give_way_only_when_descriptors_run_out() {
    let (connections, start) = connections(Budget { all: 3, pending: 2 });
    let cuts: Vec<_> = (0..3).map(|_| CancellationToken::new()).collect();
    for (k, cut) in cuts.iter().enumerate() {
        connections.came(StreamId(k as u64), start, cut.clone());
        connections.joined(StreamId(k as u64));
    }
    assert!(connections.room(start + SILENT / 2).is_some());
    assert!(!cuts.iter().any(|cut| cut.is_cancelled()), "nobody has been silent for long");
    connections.heard(StreamId(0), start + SILENT / 2);
    assert!(connections.room(start + SILENT).is_some());
    assert_eq!(cuts.iter().filter(|cut| cut.is_cancelled()).count(), 1);
    assert!(!cuts[0].is_cancelled(), "one that lives keeps its place");
}

/// What is closed in order gives its descriptor back before anybody who may still join has to.
#[test]
fn a_connection_that_is_being_closed_gives_way_first() {
    let (connections, start) = connections(Budget { all: 10, pending: 2 });
    let cuts: Vec<_> = (0..2).map(|_| CancellationToken::new()).collect();
    for (k, cut) in cuts.iter().enumerate() {
        assert_eq!(connections.room(start), None);
        connections.came(StreamId(k as u64), start, cut.clone());
    }
    connections.closing(StreamId(1));
    assert!(connections.room(start).is_some());
    assert_eq!(cuts.iter().map(|cut| cut.is_cancelled()).collect::<Vec<_>>(), [false, true]);
}
