use tokio::time::timeout;

use super::*;

/// Connections, and the tokens by which they are told to go, by their coming.
struct Crowd {
    connections: Connections,
    start: Instant,
    cuts: Vec<CancellationToken>,
}

impl Crowd {
    fn new(budget: Budget) -> Self {
        Self { connections: Connections::new(budget), start: Instant::now(), cuts: Vec::new() }
    }

    /// So many come at once, so long after the start; each finds a descriptor.
    fn come(&mut self, count: usize, after: Duration) {
        for _ in 0..count {
            assert_eq!(self.connections.make_room(self.start + after), None, "{}", self.cuts.len());
            let cut = CancellationToken::new();
            self.connections.came(StreamId(self.cuts.len() as u64), self.start + after, cut.clone());
            self.cuts.push(cut);
        }
    }

    fn no_room(&self, after: Duration) -> bool {
        self.connections.make_room(self.start + after).is_some()
    }

    /// The numbers of those that were told to go.
    fn told(&self) -> Vec<usize> {
        (0..self.cuts.len()).filter(|k| self.cuts[*k].is_cancelled()).collect()
    }
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
    let mut crowd = Crowd::new(Budget { all: 6, pending: 3 });
    crowd.come(6, Duration::ZERO);
    assert!(crowd.no_room(BRIEF / 2), "all descriptors are taken");
    assert_eq!(crowd.told(), [0; 0], "nobody has had its time");
    crowd.connections.joined(StreamId(0), crowd.start + BRIEF / 2);
    // In one go all go that are too many, and none of those that may stay.
    assert!(crowd.no_room(BRIEF));
    assert_eq!(crowd.told(), [1, 2, 3]);
    crowd.connections.left(StreamId(1));
    crowd.come(1, BRIEF);
    assert!(crowd.no_room(BRIEF));
    assert_eq!(crowd.told(), [1, 2, 3, 4], "one came and one more gives way");
}

/// As long as there are descriptors nobody waits in the kernel's queue, where a proxy would wait behind all others.
#[test]
fn while_there_are_descriptors_more_are_taken_in_than_may_stay() {
    let mut crowd = Crowd::new(Budget { all: 1000, pending: 3 });
    crowd.come(900, Duration::ZERO);
    assert_eq!(crowd.told().len(), 0);
    crowd.come(1, BRIEF);
    assert_eq!(crowd.told().len(), 898, "with the one that comes three stay");
    crowd.come(1, BRIEF);
    assert_eq!(crowd.told().len(), 899, "those that are going already are not counted again");
}

/// A machine that vanished says nothing, and its descriptor is needed.
#[test]
fn silent_streams_give_way_only_when_descriptors_run_out() {
    let mut crowd = Crowd::new(Budget { all: 3, pending: 2 });
    crowd.come(3, Duration::ZERO);
    for k in 0..3 {
        crowd.connections.joined(StreamId(k), crowd.start);
    }
    assert!(crowd.no_room(SILENT / 2));
    assert_eq!(crowd.told(), [0; 0], "nobody has been silent for long");
    crowd.connections.heard(StreamId(0), crowd.start + SILENT / 2);
    crowd.connections.heard(StreamId(1), crowd.start + SILENT / 4);
    assert!(crowd.no_room(SILENT * 2));
    assert_eq!(crowd.told(), [2], "the one that was silent longest");
    assert!(crowd.no_room(SILENT * 2));
    assert_eq!(crowd.told(), [2], "one is enough for one");
}

/// What is closed in order gives its descriptor back before anybody who may still join has to.
#[test]
fn a_connection_that_is_being_closed_gives_way_first() {
    let mut crowd = Crowd::new(Budget { all: 10, pending: 2 });
    crowd.come(2, Duration::ZERO);
    crowd.connections.closing(StreamId(1));
    crowd.come(1, BRIEF);
    assert_eq!(crowd.told(), [1]);
}

/// Where all descriptors are taken, whoever waits for one has it as soon as it is free.
#[tokio::test]
async fn a_descriptor_that_is_free_is_had_at_once() {
    let mut crowd = Crowd::new(Budget { all: 2, pending: 2 });
    crowd.come(2, Duration::ZERO);
    let mut room = std::pin::pin!(crowd.connections.room());
    assert!(timeout(Duration::ZERO, &mut room).await.is_err(), "all descriptors are taken");
    crowd.connections.left(StreamId(0));
    assert!(timeout(Duration::ZERO, &mut room).await.is_ok(), "one is free");
}
