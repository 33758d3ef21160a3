//! Faults in the emulator with real sockets: each test causes a failure and checks the guard against it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use stepspur_emulator::judge::Rule;
use stepspur_emulator::links::Links;
use stepspur_emulator::node::{Memories, Node, header};
use stepspur_emulator::plan::Plan;
use stepspur_emulator::relay::{Dial, carry, source_address};
use stepspur_emulator::scenario::Scenario;
use stepspur_emulator::trace::{ArrivalOutcome, Event, Trace};
use stepspur_emulator::{Launcher, Report, play, report};
use stepspur_model::server::{Job, Request, Server, Spec};
use stepspur_model::work::{Form, Work};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;
use tower_service::Service;

const SMALL_SCENARIO: &str = include_str!("data/small.toml");

fn plan(faults: &str) -> Plan {
    Scenario::parse("small", &format!("{SMALL_SCENARIO}\n{faults}")).unwrap().plan("small").unwrap()
}

async fn run_plan(plan: Plan) -> Report {
    timeout(Duration::from_secs(60), play(plan, Launcher::Inside, None)).await.unwrap().unwrap()
}

/// True if no rule was broken and all expectations were met. A void run, on a machine that is too slow,
/// proves nothing and must not fail the test.
fn passes_or_void(report: &Report) -> bool {
    report.void.is_some() || report.rules_kept() && report.expectations_met()
}

/// Guards against faults that break a rule or lose more requests than expected: each fault runs in a small
/// scenario, with a bound on lost requests and no server failing from overload.
#[tokio::test(flavor = "multi_thread")]
async fn a_small_scenario_meets_its_expectations_under_each_fault() {
    let cases = [
        (
            "a node that accepts and never answers",
            "kind = \"hang\"\nat = \"500ms\"\nlasts = \"3s\"\nserver = 1",
            0.1,
        ),
        ("a restart on the same address", "kind = \"die\"\nat = \"1s\"\nlasts = \"300ms\"\nserver = 1", 0.06),
        (
            "pauses longer than the probes' time-out",
            "kind = \"pauses\"\nat = \"500ms\"\nlasts = \"3s\"\nserver = 1\nevery = \"300ms\"\npause = \"900ms\"",
            0.1,
        ),
        (
            "a drain that begins while requests wait",
            "kind = \"release\"\nat = \"500ms\"\nlasts = \"2s\"\nshare = 0.5\nbatch = 1\ndrain = \"700ms\"",
            0.02,
        ),
        ("a fault before the first join", "kind = \"hang\"\nat = \"0s\"\nlasts = \"3s\"\nserver = 1", 0.1),
        ("a list out of reach from the start", "kind = \"list_down\"\nat = \"0s\"\nlasts = \"2s\"", 0.02),
        (
            "a link that is slow and loses packets",
            "kind = \"slow_link\"\nat = \"500ms\"\nlasts = \"3s\"\nzone = \"a\"\nto_zone = \"b\"\ndelay = \"40ms\"\npart = 0.1",
            0.1,
        ),
        (
            "a link that is cut",
            "kind = \"link_cut\"\nat = \"1s\"\nlasts = \"2s\"\nzone = \"a\"\nto_zone = \"b\"",
            0.1,
        ),
    ];
    // The runs are concurrent, as each mostly waits.
    let mut runs = tokio::task::JoinSet::new();
    for (name, fault, lost) in cases {
        let fault = format!("[[fault]]\n{fault}\n[[expect]]\nlost_at_most = {lost}\nfallen_at_most = 0");
        runs.spawn(async move { (name, run_plan(plan(&fault)).await, fault) });
    }
    let mut to_repeat = Vec::new();
    while let Some(run) = runs.join_next().await {
        let (name, report, fault) = run.unwrap();
        assert!(report.void.is_some() || report.rules_kept(), "{name}: {:#?}", report.rules);
        assert!(report.classes.iter().all(|c| c.asked > 10) && !report.series.samples.is_empty(), "{name}");
        to_repeat.extend((!passes_or_void(&report)).then_some((name, fault)));
    }
    // Concurrent runs on a busy machine may lose more requests than expected, but may not break a rule. Such
    // a run is repeated alone and must then pass.
    for (name, fault) in to_repeat {
        let report = run_plan(plan(&fault)).await;
        assert!(passes_or_void(&report), "{name}: {:#?} {:#?}", report.rules, report.expectations);
    }
}

/// Guards against traffic that overloads cold servers: all servers of a zone restart within a second under
/// load. With the guard none fails. A conductor that is configured as if servers started warm sends them full
/// traffic, and some fail, which the check of rule 4 must report.
#[tokio::test(flavor = "multi_thread")]
async fn cold_servers_fail_from_overload_only_without_the_guard() {
    let text = include_str!("../../../rehearsals/zone-restart.toml");
    let plan_with = |guarded: bool| {
        let mut scenario = Scenario::parse("zone restart", text).unwrap();
        scenario.length = Duration::from_secs(12);
        scenario.faults[0].at = Duration::from_secs(2);
        // Far enough from the limit on both sides that the timing of the machine does not decide.
        scenario.rate = 220.0;
        scenario.kinds.iter_mut().for_each(|kind| kind.server.cold_from = 0.02);
        scenario.phases.clear();
        scenario.expectations.clear();
        let mut plan = scenario.plan("zone restart").unwrap();
        if !guarded {
            plan.config.fleet.cold = Duration::from_millis(1);
            plan.config.fleet.start_capacity = 1.0;
            plan.config.fleet.fall_multiple = 100.0;
        }
        plan
    };
    let guarded = run_plan(plan_with(true)).await;
    assert!(
        guarded.void.is_some() || guarded.rules_kept() && guarded.fallen == 0,
        "{} {:#?}",
        guarded.fallen,
        guarded.rules
    );
    let unguarded = run_plan(plan_with(false)).await;
    println!("fallen: {} with the guard, {} without", guarded.fallen, unguarded.fallen);
    let fresh = unguarded.rules.iter().find(|v| v.rule == Rule::Fresh).unwrap();
    assert!(
        unguarded.void.is_some() || unguarded.fallen > 0 && !fresh.kept,
        "{} {fresh:?}",
        unguarded.fallen
    );
}

/// Starts a single server on a socket, and returns it with its trace, links and stop token once it accepts
/// connections.
async fn start_node(spec: Spec) -> (Arc<Node>, Arc<Trace>, Arc<Links>, CancellationToken) {
    let mut plan = plan("");
    plan.servers[0].spec = spec;
    let (trace, links, stop) =
        (Arc::new(Trace::default()), Arc::new(Links::default()), CancellationToken::new());
    let memories = Arc::new(Memories::new(&plan));
    let (node, socket) = Node::new(&plan, 0, Arc::clone(&links), memories, Arc::clone(&trace)).unwrap();
    tokio::spawn(Arc::clone(&node).run(socket, stop.clone()));
    let up = async {
        while tokio::net::TcpStream::connect(node.address).await.is_err() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(5), up).await.unwrap();
    (node, trace, links, stop)
}

/// Sends a request to a server as proxy 0 of a zone, and returns the raw response.
async fn send_request(
    to: SocketAddr,
    zone: usize,
    id: u64,
    attempt: u32,
    work: f64,
) -> std::io::Result<Vec<u8>> {
    let uri = format!("http://{to}/request").parse().unwrap();
    let mut stream = Dial(source_address(zone, 0)).call(uri).await?.into_inner();
    let head = format!(
        "GET /request HTTP/1.1\r\nhost: {to}\r\nconnection: close\r\n{}: {id}/0/{attempt}\r\n{}: 0\r\n{}: 1\r\n{}: {work}\r\n\r\n",
        header::REQUEST,
        header::PROXY,
        header::CLASS,
        header::WORK
    );
    stream.write_all(head.as_bytes()).await?;
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).await?;
    Ok(answer)
}

/// Guards against effects that stay hidden: a request times out while it runs and is sent again. The first
/// attempt still takes effect, so the trace must show both, and rule 2 must be reported although nobody
/// waited for the first.
#[tokio::test(flavor = "multi_thread")]
async fn the_effect_of_a_request_that_is_cancelled_while_it_runs_is_recorded() {
    let (node, trace, _, stop) = start_node(Spec { cores: 2, ..Spec::default() }).await;
    let given_up = timeout(Duration::from_millis(60), send_request(node.address, 0, 7, 0, 200_000.0)).await;
    assert!(given_up.is_err());
    let answer = send_request(node.address, 0, 7, 1, 1000.0).await.unwrap();
    assert!(answer.starts_with(b"HTTP/1.1 200"));
    tokio::time::sleep(Duration::from_millis(300)).await;
    stop.cancel();
    let events = trace.take();
    let ran = events.iter().filter(|(_, e)| matches!(e, Event::Ran { .. })).count();
    assert_eq!(ran, 2, "{events:?}");
    let zones = [(node.address, "a".to_owned())].into();
    let limits = stepspur_emulator::judge::RuleLimits::new(&plan(""), zones);
    let violations = stepspur_emulator::judge::judge(&limits, 0, &events);
    assert!(violations.iter().any(|b| b.rule == Rule::Once), "{violations:?}");
}

/// Guards against links that do not act as configured: a slow link must delay a request by its round trips, a
/// dial over a cut link must fail, and bytes sent into a cut link by a sender that closes must not arrive
/// later.
#[tokio::test(flavor = "multi_thread")]
async fn links_apply_delay_and_cut() {
    let (node, trace, links, stop) = start_node(Spec::default()).await;
    let started = Instant::now();
    send_request(node.address, 1, 1, 0, 1000.0).await.unwrap();
    let quick = started.elapsed();
    links.slow(0, 1, Duration::from_millis(50), 0.0, true);
    let started = Instant::now();
    send_request(node.address, 1, 2, 0, 1000.0).await.unwrap();
    assert!(started.elapsed() >= quick.min(Duration::from_millis(50)) + Duration::from_millis(140));
    send_request(node.address, 0, 3, 0, 1000.0).await.unwrap();
    links.cut_link(1, 0, true);
    assert!(
        send_request(node.address, 1, 4, 0, 1000.0).await.is_err()
            && send_request(node.address, 0, 5, 0, 1000.0).await.is_ok()
    );
    links.cut_link(1, 0, false);
    stop.cancel();
    let arrived = trace.take().into_iter().filter_map(|(_, e)| match e {
        Event::Arrived(a) if a.came == ArrivalOutcome::Taken => Some(a.request.0.0),
        _ => None,
    });
    assert_eq!(arrived.collect::<Vec<_>>(), [1, 2, 3, 5]);
    // Bytes that are held by a cut link are dropped once their sender has closed, so they do not arrive
    // later.
    let links = Links::default();
    links.cut(0, true);
    let ((mut near, a), (b, mut far)) = (tokio::io::duplex(64), tokio::io::duplex(64));
    let carried = carry(a, b, || links.between(0, 1), 1);
    let send = async {
        near.write_all(b"late").await.unwrap();
        tokio::time::sleep(Duration::from_millis(60)).await;
        drop(near);
    };
    tokio::join!(carried, send);
    links.cut(0, false);
    let mut arrived = Vec::new();
    far.read_to_end(&mut arrived).await.unwrap();
    assert!(arrived.is_empty());
}

/// Guards against an emulated server that differs from its model: the same arrivals through a socket and in
/// virtual time must have mean response times within the tolerance of docs/rehearsal.md (a fifth, plus 5 ms
/// for sockets and timers).
#[tokio::test(flavor = "multi_thread")]
async fn the_emulated_server_matches_the_model_in_virtual_time() {
    let spec = Spec { cores: 2, slots: 2, room: 1000, ..Spec::default() };
    let mut rng = ChaCha8Rng::seed_from_u64(4);
    let work = Work { form: Form::LogNormal, mean: 20_000.0, cv: 1.0 };
    let mut at = 0;
    let arrivals: Vec<(u64, f64)> = (0..250)
        .map(|_| {
            at += (-f64::ln(rng.random_range(f64::MIN_POSITIVE..1.0)) * 16_000.0) as u64;
            (at, work.sample(&mut rng).round())
        })
        .collect();
    let mut server = Server::new(spec.clone(), 1, 0, true);
    let mut virtual_time = 0.0;
    let mut collect = |server: &mut Server, until: u64| {
        while let Some(at) = server.next_at().filter(|at| *at <= until) {
            while let Some(done) = server.poll(at) {
                virtual_time += (at - arrivals[done.job.0 as usize].0) as f64 / 250.0;
            }
        }
    };
    for (k, (at, work)) in arrivals.iter().enumerate() {
        collect(&mut server, *at);
        server.offer(*at, Job(k as u64), Request::of(*work));
    }
    collect(&mut server, u64::MAX);
    let (node, _, _, stop) = start_node(spec).await;
    let (begin, address) = (Instant::now() + Duration::from_millis(50), node.address);
    let mut requests = tokio::task::JoinSet::new();
    for (k, (at, work)) in arrivals.into_iter().enumerate() {
        requests.spawn(async move {
            let due = begin + Duration::from_micros(at);
            tokio::time::sleep_until(due).await;
            send_request(address, 0, k as u64, 0, work).await.unwrap();
            due.elapsed().as_micros() as f64 / 250.0
        });
    }
    let socket_time: f64 = requests.join_all().await.into_iter().sum();
    stop.cancel();
    println!("mean time in virtual time {virtual_time:.0} us, by sockets {socket_time:.0} us");
    assert!(socket_time > virtual_time * 0.8, "{socket_time} {virtual_time}");
    assert!(socket_time < virtual_time * 1.2 + 5_000.0, "{socket_time} {virtual_time}");
}

/// Guards against incomplete reports: the page must have all charts, the CSV their data, and the summary of
/// several runs their counts and confidence intervals, without void runs.
#[tokio::test(flavor = "multi_thread")]
async fn report_page_and_summary_are_complete() {
    let report = run_plan(plan(
        "[[fault]]\nkind = \"burst\"\nat = \"1s\"\nlasts = \"1s\"\ntimes = 1.5\n[[phase]]\nname = \"burst\"\nfrom = \"1s\"\nuntil = \"2s\"\n\
         [[expect]]\nphase = \"burst\"\nclass = \"read\"\nin_time_at_least = 0.1\n[[expect]]\np99_at_most = \"1ms\"",
    ))
    .await;
    assert_eq!(report.expectations.iter().map(|e| e.met).collect::<Vec<_>>(), [true, false]);
    assert!(report.phases[0].1.iter().map(|t| t.asked).sum::<u64>() > 10);
    let page = report::page(&report);
    let html = page.html().unwrap();
    assert_eq!(html.matches("<svg").count(), 8);
    assert!(html.contains("burst at 1.0 s") && html.contains("NOT MET"));
    let mut csv = Vec::new();
    page.csv(&mut csv).unwrap();
    let csv = String::from_utf8(csv).unwrap();
    for chart in ["Requests by outcome", "Heat by zone", "Weight by zone", "Levels", "Channel depth"] {
        assert!(csv.contains(chart), "{chart}");
    }
    let mut broken = report.clone();
    broken.rules[1].kept = false;
    broken.void = None;
    let fine = Report { void: None, ..report.clone() };
    let summary = report::Summary::of(&[fine.clone(), broken, Report { void: Some("slow".into()), ..fine }]);
    assert_eq!((summary.seeds.len(), summary.void.len(), summary.rules[1].failed), (2, 1, 1));
    assert!(!summary.kept() && summary.service.1.is_some() && summary.expectations[1].failed == 2);
    let [low, high] = report::interval(0, 10);
    assert!(low == 0.0 && (high - 0.3085).abs() < 1e-3, "Clopper-Pearson interval for 0 of 10: {high}");
}
