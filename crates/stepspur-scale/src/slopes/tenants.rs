//! Tenants: a conductor whose settings name many, each with servers and an operator of its own.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use stepspur_conductor::config::{Source, Tenant};
use stepspur_emulator::Launcher;
use stepspur_emulator::identity::DayKeys;
use stepspur_identity::keys::{Manifest, OperatorEntry, write_manifest};
use stepspur_identity::rights::Right;
use tokio::time::{Instant, sleep};

use super::conductor::settings;
use super::result::{Metric, Values};
use crate::usage;

/// From its start to the first look.
const SETTLE: Duration = Duration::from_millis(1_500);
/// Servers of each tenant.
const SERVERS: usize = 20;

/// Measures a conductor with so many tenants beside its own.
///
/// # Errors
/// If it does not start in time.
pub(super) async fn measure(program: PathBuf, tenants: usize, window: Duration) -> anyhow::Result<Values> {
    let folder = tempfile::tempdir()?;
    let nodes = folder.path().join("nodes.toml");
    let node =
        |number: usize| format!("[[node]]\naddress = \"127.16.0.{}:80\"\nzone = \"north\"\n", number + 1);
    std::fs::write(&nodes, (0..SERVERS).map(node).collect::<String>())?;
    let keys = DayKeys::new()?;
    let mut config = settings()?;
    let identity = keys.config();
    rights(&identity.folder, tenants)?;
    config.listen.plain_on_loopback = false;
    config.identity = Some(identity);
    let source = Source::File {
        path: nodes,
        every: Duration::from_millis(500),
        doubt: config.source.mass_removal_guard().clone(),
    };
    config.source = source.clone();
    let tenant = Tenant { fleet: config.fleet.clone(), source };
    config.tenants = (0..tenants).map(|number| (format!("tenant-{number}"), tenant.clone())).collect();
    let from = Instant::now();
    let running = Launcher::Program(program).start(&config).await?;
    let pid = running.pid().context("the conductor has ended")?;
    let mut values = Values::from([
        (Metric::StartS, from.elapsed().as_secs_f64()),
        (Metric::StartCpuS, usage::thread_cpu_time(pid)?.as_secs_f64()),
    ]);
    sleep(SETTLE).await;
    let (cpu, wakeups, from) = (usage::thread_cpu_time(pid)?, usage::wakeups(pid)?, Instant::now());
    sleep(window).await;
    let span = from.elapsed().as_secs_f64();
    let spent = usage::thread_cpu_time(pid)?.saturating_sub(cpu).as_secs_f64();
    values.insert(Metric::CpuPercent, spent / span * 100.0);
    values.insert(Metric::WakesPerS, usage::wakeups(pid)?.saturating_sub(wakeups) as f64 / span);
    values.insert(Metric::ResidentMib, usage::usage(pid)?.resident as f64 / f64::from(1 << 20));
    running.kill().await;
    Ok(values)
}

/// Gives each tenant an operator who may change.
fn rights(folder: &std::path::Path, tenants: usize) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(folder.join("identity.toml")).context("the keys' manifest")?;
    let mut manifest: Manifest = toml::from_str(&text)?;
    let operator = |number: usize| OperatorEntry {
        tenant: format!("tenant-{number}"),
        name: "operator".into(),
        rights: Right::ALL.into_iter().collect(),
    };
    manifest.operator = (0..tenants).map(operator).collect();
    write_manifest(folder, &manifest)?;
    Ok(())
}
