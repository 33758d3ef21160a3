use super::*;

const AGE: Duration = Duration::from_secs(1);
const LEADS_FOR: Duration = Duration::from_secs(40);

fn version(index: u64) -> Version {
    Version { term: 1, index }
}

fn table(evaluated: u64, age: Duration, places: &[(&str, Place)]) -> Table {
    Table {
        heard: Instant::now() - age,
        evaluated: version(evaluated),
        behind_unnamed: 0,
        places: places.iter().map(|(name, place)| ((*name).to_owned(), place.clone())).collect(),
    }
}

fn lag(in_force: u64, reason: &str) -> Lag {
    let since = Instant::now() - Duration::from_secs(7);
    Lag { in_force: version(in_force), since, reason: reason.to_owned() }
}

/// What is missing of version 5 at these, by name, with the reason.
fn missing_at(names: &[&str], tables: &[Table]) -> Vec<(String, Version, f64, String)> {
    let expected: Vec<String> = names.iter().map(|name| (*name).to_owned()).collect();
    let tables = (1..).zip(tables).collect();
    let told = answer(version(5), &expected, &tables, LEADS_FOR, Instant::now());
    assert_eq!(told.expected, names.len());
    assert_eq!(told.in_force + told.missing.len(), names.len());
    assert_eq!(told.everywhere, told.missing.is_empty());
    told.missing.into_iter().map(|m| (m.name, m.in_force, m.since_s, m.reason)).collect()
}

fn missing_one(tables: &[Table]) -> Option<(Version, f64, String)> {
    let mut missing = missing_at(&["a"], tables);
    assert!(missing.len() <= 1);
    missing.pop().map(|(_, version, since, reason)| (version, since, reason))
}

#[tokio::test(start_paused = true)]
async fn attached_at_a_member_that_has_evaluated_the_version_it_is_in_force() {
    assert_eq!(missing_one(&[table(5, AGE, &[("a", Place::Attached)])]), None);
    assert_eq!(missing_one(&[table(9, AGE, &[("a", Place::Attached)])]), None);
}

#[tokio::test(start_paused = true)]
async fn a_member_that_has_not_evaluated_the_version_proves_nothing() {
    let (_, _, reason) = missing_one(&[table(4, AGE, &[("a", Place::Attached)])]).unwrap();
    assert_eq!(reason, "control member 1 is not at this version");
}

#[tokio::test(start_paused = true)]
async fn a_stale_summary_proves_nothing() {
    let at = |age| missing_one(&[table(5, age, &[("a", Place::Attached)])]);
    assert_eq!(at(SUMMARY_MAX_AGE), None);
    let late = SUMMARY_MAX_AGE + Duration::from_millis(1);
    assert_eq!(at(late), Some((Version::NONE, 3.001, "control member 1 does not report".to_owned())));
}

#[tokio::test(start_paused = true)]
async fn one_that_is_behind_the_version_is_named_with_its_reason() {
    let behind =
        |in_force| missing_one(&[table(9, AGE, &[("a", Place::Behind(lag(in_force, "disk full")))])]);
    assert_eq!(behind(4), Some((version(4), 7.0, "disk full".to_owned())));
    assert_eq!(behind(5), None, "behind a later version alone");
}

#[tokio::test(start_paused = true)]
async fn a_summary_that_names_not_all_proves_nothing_of_those_it_does_not_name() {
    let places = [("a", Place::Attached), ("b", Place::Behind(lag(5, "")))];
    let cut = Table { behind_unnamed: 1, ..table(5, AGE, &places) };
    let missing = missing_at(&["a", "b"], &[cut]);
    assert_eq!(missing.len(), 1);
    assert_eq!(
        (missing[0].0.as_str(), missing[0].3.as_str()),
        ("a", "control member 1 names not all who are behind")
    );
}

#[tokio::test(start_paused = true)]
async fn one_that_is_detached_is_named_with_the_time_since_whatever_it_acted_by() {
    let gone = table(9, AGE, &[("a", Place::Detached(lag(9, "closed")))]);
    let reason = "detached from control member 1: closed".to_owned();
    assert_eq!(missing_one(&[gone]), Some((version(9), 7.0, reason)));
}

#[tokio::test(start_paused = true)]
async fn one_that_has_moved_is_where_it_is_attached() {
    let gone = table(9, AGE, &[("a", Place::Detached(lag(1, "closed")))]);
    let here = table(9, AGE, &[("a", Place::Attached)]);
    assert_eq!(missing_one(&[gone.clone(), here.clone()]), None);
    assert_eq!(missing_one(&[here, gone]), None);
}

/// A connection may be half open at one member while the subscriber, its disk put back, is behind at another.
#[tokio::test(start_paused = true)]
async fn of_two_members_that_name_it_attached_both_must_prove_it() {
    let here = table(9, AGE, &[("a", Place::Attached)]);
    for other in [
        table(9, AGE, &[("a", Place::Behind(lag(2, "not acknowledged yet")))]),
        table(4, AGE, &[("a", Place::Attached)]),
    ] {
        assert!(missing_one(&[here.clone(), other.clone()]).is_some());
        assert!(missing_one(&[other, here.clone()]).is_some());
    }
}

#[tokio::test(start_paused = true)]
async fn one_that_nobody_names_is_missing_for_as_long_as_this_leader_runs() {
    let (in_force, since, reason) = missing_one(&[table(9, AGE, &[("b", Place::Attached)])]).unwrap();
    assert_eq!((in_force, since), (Version::NONE, 40.0));
    assert_eq!(reason, "not attached to any control member that reports");
}

#[tokio::test(start_paused = true)]
async fn so_many_are_named_and_the_rest_counted() {
    let names: Vec<String> = (0..MAX_PENDING_LISTED + 3).map(|n| format!("{n:04}")).collect();
    let told = answer(version(5), &names, &BTreeMap::new(), LEADS_FOR, Instant::now());
    assert_eq!((told.missing.len(), told.missing_unnamed, told.in_force), (MAX_PENDING_LISTED, 3, 0));
    assert!(!told.everywhere && told.missing.is_sorted_by(|a, b| a.name < b.name));
}
