//! Measures a conductor with many tenants, each with its own servers and operator.

use std::path::PathBuf;
use std::time::Duration;

use anyhow::Context;
use stepspur_conductor::config::{Source, Tenant};
use stepspur_emulator::Launcher;
use stepspur_emulator::identity::TestIdentity;
use stepspur_identity::keys::{Manifest, OperatorEntry, write_manifest};
use stepspur_identity::rights::Right;
use tokio::time::{Instant, sleep};

use super::conductor::base_config;
use super::result::{Metric, Values};
use crate::usage;

/// Wait between the start and the steady-state measurement.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);
/// Servers listed for each tenant.
const SERVERS_PER_TENANT: usize = 20;

/// Measures a conductor with `tenants` tenants in addition to its default one. The texts of its errors are
/// stored as notes of the result.
///
/// # Errors
/// If the conductor does not start in time.
pub(super) async fn measure(program: PathBuf, tenants: usize, window: Duration) -> anyhow::Result<Values> {
    let folder = tempfile::tempdir()?;
    let nodes = folder.path().join("nodes.toml");
    let node =
        |number: usize| format!("[[node]]\naddress = \"127.16.0.{}:80\"\nzone = \"north\"\n", number + 1);
    std::fs::write(&nodes, (0..SERVERS_PER_TENANT).map(node).collect::<String>())?;
    let keys = TestIdentity::new()?;
    let mut config = base_config()?;
    let identity = keys.config();
    write_operator_rights(&identity.folder, tenants)?;
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
    let start = Instant::now();
    let running = Launcher::Program(program).start(&config).await?;
    let pid = running.pid().context("the conductor has ended")?;
    let mut values = Values::from([
        (Metric::StartS, start.elapsed().as_secs_f64()),
        (Metric::StartCpuS, usage::thread_cpu_time(pid)?.as_secs_f64()),
    ]);
    sleep(SETTLE_TIME).await;
    let (cpu, wakeups, start) = (usage::thread_cpu_time(pid)?, usage::wakeups(pid)?, Instant::now());
    sleep(window).await;
    let seconds = start.elapsed().as_secs_f64();
    let cpu_used = usage::thread_cpu_time(pid)?.saturating_sub(cpu).as_secs_f64();
    values.insert(Metric::CpuPercent, cpu_used / seconds * 100.0);
    values.insert(Metric::WakesPerS, usage::wakeups(pid)?.saturating_sub(wakeups) as f64 / seconds);
    values.insert(Metric::ResidentMib, usage::usage(pid)?.resident as f64 / f64::from(1 << 20));
    running.kill().await;
    Ok(values)
}

/// Gives each tenant an operator with all rights.
fn write_operator_rights(folder: &std::path::Path, tenants: usize) -> anyhow::Result<()> {
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
