//! Experiments: intervals that mean what they say, results that survive, mistakes told with their place.

use std::path::{Path, PathBuf};
use std::sync::Mutex;

use stepspur_simulation::experiment::{ExperimentError, Finished, Lab, estimate};
use tempfile::TempDir;

fn written(arms: &str) -> (TempDir, PathBuf, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let scenario = include_str!("../../stepspur-emulator/tests/data/small.toml");
    std::fs::write(folder.path().join("small.toml"), scenario).unwrap();
    let file = folder.path().join("e.toml");
    let head = "name = \"e\"\nscenario = \"small.toml\"\nleast = 4\nmost = 4\n";
    std::fs::write(&file, format!("{head}{arms}")).unwrap();
    let results = folder.path().join("r.jsonl");
    (folder, file, results)
}

const TWO: &str =
    "[[arm]]\nname = \"a\"\n[[arm]]\nname = \"b\"\n[arm.conductor.reports]\nevery = \"400ms\"\n";

fn played(file: &Path, results: &Path, threads: usize) -> (Vec<Finished>, String) {
    let lab = Lab::open(file, results).unwrap();
    let heard = Mutex::new(Vec::new());
    let found = lab.play(threads, &|f| heard.lock().unwrap().push(f.clone())).unwrap();
    (heard.into_inner().unwrap(), format!("{found:?}"))
}

/// Interrupted at any place, the rest is played and nothing twice; one thread and four give the same.
#[test]
fn an_experiment_goes_on_where_it_was_interrupted() {
    let (_folder, file, results) = written(TWO);
    let (first, whole) = played(&file, &results, 4);
    assert_eq!(first.len(), 8);
    assert_eq!(played(&file, &results, 4), (Vec::new(), whole.clone()));
    let text = std::fs::read_to_string(&results).unwrap();
    for cut in [text.len() - 1, text.len() / 2, 3] {
        std::fs::write(&results, &text[..cut]).unwrap();
        let kept = text[..cut].matches('\n').count();
        let (again, found) = played(&file, &results, 1);
        assert_eq!((again.len(), &found), (8 - kept, &whole), "cut at {cut}");
    }
    // An arm that was changed is another arm: only its runs are played.
    let changed = std::fs::read_to_string(&file).unwrap().replace("400ms", "600ms");
    std::fs::write(&file, changed).unwrap();
    let (again, _) = played(&file, &results, 2);
    assert!(again.len() == 4 && again.iter().all(|f| f.arm == "b"));
    std::fs::write(&results, "{\"key\": 3}\n").unwrap();
    let error = Lab::open(&file, &results).unwrap_err();
    assert!(matches!(error, ExperimentError::Results { line: 1, .. }), "{error}");
}

/// A crash is kept as such: it is in the results, named by its seed, and in no mean.
#[test]
fn a_run_that_crashed_is_told_and_never_averaged() {
    let (_folder, file, results) = written(TWO);
    let (_, _) = played(&file, &results, 2);
    let text = std::fs::read_to_string(&results).unwrap();
    let crashed: Vec<String> = text
        .lines()
        .map(|line| {
            let mut run: Finished = serde_json::from_str(line).unwrap();
            if run.arm == "b" && run.seed == 2 {
                run.result = None;
            }
            serde_json::to_string(&run).unwrap() + "\n"
        })
        .collect();
    std::fs::write(&results, crashed.concat()).unwrap();
    let found = Lab::open(&file, &results).unwrap().results();
    assert_eq!((found[1].runs, found[1].crashed.as_slice(), found[0].runs), (3, [2].as_slice(), 4));
}

#[test]
fn an_experiment_with_a_mistake_is_refused_with_its_place() {
    let cases = [
        ("[[arm]]\nname = \"a\"\nconductor = 3\n", "line 7"),
        ("[[arm]]\nname = \"a\"\n[[arm]]\nname = \"a\"\n", "stands twice"),
        ("[[arm]]\nname = \"a\"\nbaseline = \"best\"\n", "best"),
        ("[[arm]]\nname = \"a\"\n[arm.conductor.reports]\nevery = \"0s\"\n", "reports.every"),
        ("[[arm]]\nname = \"a\"\n[arm.scenario]\nrates = 3.0\n", "rates"),
        ("[[arm]]\nname = \"a\"\nconductors = 0\n", "conductors"),
        ("", "arm"),
    ];
    for (arms, expected) in cases {
        let (_folder, file, results) = written(arms);
        let error = Lab::open(&file, &results).unwrap_err().to_string();
        assert!(error.contains(expected), "{error} for {arms}");
    }
}

/// The interval of a mean holds it at its stated rate: 95% of 2,000 draws of ten values, within chance.
#[test]
fn intervals_hold_the_truth_at_the_stated_rate() {
    use rand::{RngExt, SeedableRng};
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    let holds = (0..2000).filter(|_| {
        let values: Vec<f64> = (0..10).map(|_| (0..6).map(|_| rng.random_range(-1.0..1.0)).sum()).collect();
        let e = estimate(&values).unwrap();
        e.mean.abs() <= e.t_half
    });
    let rate = holds.count() as f64 / 2000.0;
    assert!((0.935..0.965).contains(&rate), "{rate}");
    assert!(estimate(&[1.0]).is_none());
}

/// Arms that differ in nothing that matters: on other seeds each, the interval of the difference holds zero.
#[test]
fn arms_with_the_same_service_differ_by_nothing() {
    let same =
        "[[arm]]\nname = \"a\"\n[[arm]]\nname = \"b\"\n[arm.scenario]\nabout = \"only the words differ\"\n";
    let (_folder, file, results) = written(same);
    let lab = Lab::open(&file, &results).unwrap();
    let found = lab.play(4, &|_| {}).unwrap();
    let difference = found[1].difference.unwrap();
    assert_eq!((difference.mean, difference.t_half), (0.0, 0.0), "the same seed is the same run");
}
