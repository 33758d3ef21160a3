//! Tests of the limits of handshakes in progress.

use std::time::Duration;

use stepspur_identity::rights::Rights;
use tokio::net::TcpSocket;
use tokio::time::{sleep, timeout};

use crate::support::{Join, Keys, Proxy, STEP_TIMEOUT};

/// Known proxies join again while 500 handshakes from unknown sources are half open. Without the reserved
/// permits, the half-open handshakes would use all permits until their timeout.
#[tokio::test(flavor = "multi_thread")]
async fn handshakes_from_unknown_sources_leave_permits_for_known_proxies() {
    let keys = Keys::new("flood");
    let mut settings = keys.config();
    if let Some(identity) = &mut settings.identity {
        identity.handshakes_max = 64;
        identity.handshakes_kept = 32;
        identity.handshakes_of_source = 16;
        identity.handshake_timeout = Duration::from_secs(30);
    }
    let conductor = keys.start(settings).await;
    let address = conductor.address();
    let token = |k: usize| keys.token("north", &format!("p{k}"), Rights::PROXY, 600);
    let known = [127, 0, 0, 3];
    assert_eq!(
        Proxy::join_from(address, known, keys.client(None), "p0", "a", token(0)).await.0,
        Join::Admitted(6)
    );
    let mut half_open = Vec::new();
    for k in 0..500u32 {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind(([127, 0, 1, (k % 50) as u8 + 1], 0).into()).unwrap();
        half_open.push(socket.connect(address).await.unwrap());
    }
    sleep(Duration::from_millis(200)).await;
    let rejoin = async {
        for k in 0..20 {
            let (outcome, _) =
                Proxy::join_from(address, known, keys.client(None), &format!("p{k}"), "a", token(k)).await;
            assert_eq!(outcome, Join::Admitted(6));
        }
    };
    timeout(STEP_TIMEOUT, rejoin).await.expect("known proxies rejoin");
    let unknown = Proxy::join_from(address, [127, 0, 2, 9], keys.client(None), "p0", "a", token(0)).await;
    assert_eq!(unknown.0, Join::Closed, "unknown sources have no permit left");
    drop(half_open);
    conductor.stop().await;
}
