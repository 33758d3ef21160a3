//! Memory of a conductor with many tenants. The only test in this file, as it measures the memory of its
//! process.

use std::collections::BTreeMap;

use stepspur_conductor::config::Tenant;
use stepspur_conductor::{Conductor, Config, source};
use stepspur_emulator::identity::TestIdentity;

const EXAMPLE: &str = include_str!("../../../examples/conductor.toml");
/// Maximum resident memory of a tenant without proxies, in bytes.
const MAX_TENANT_BYTES: u64 = 256 << 10;

/// Resident memory of this process, in bytes.
fn resident() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches("kB").trim().parse::<u64>().unwrap() << 10
}

fn config(keys: &TestIdentity, tenants: usize) -> Config {
    let mut config: Config = toml::from_str(EXAMPLE).unwrap();
    config.listen.address = ([127, 0, 0, 1], 0).into();
    config.status.address = None;
    config.identity = Some(keys.config());
    let tenant = || Tenant { fleet: config.fleet.clone(), source: config.source.clone() };
    config.tenants = (0..tenants).map(|k| (format!("tenant-{k}"), tenant())).collect::<BTreeMap<_, _>>();
    config
}

/// Guards against memory that grows with the square of the number of tenants: each engine and each prober
/// once held the settings of all tenants, and 1,000 tenants took 2.4 GB.
#[tokio::test]
async fn memory_per_tenant_does_not_grow_with_their_number() {
    let keys = TestIdentity::new().unwrap();
    let few = config(&keys, 50);
    let many = config(&keys, 400);
    let mut running = Vec::new();
    let mut started = Vec::new();
    for config in [few, many] {
        let before = resident();
        let source = source::from_config(&config.source);
        running.push(Conductor::start(config, source).await.unwrap());
        started.push(resident().saturating_sub(before));
    }
    for conductor in running {
        conductor.stop().await;
    }
    let max_bytes = 400 * MAX_TENANT_BYTES;
    assert!(
        started[1] < max_bytes,
        "50 tenants cost {} bytes, 400 cost {}, at most {max_bytes}",
        started[0],
        started[1]
    );
}
