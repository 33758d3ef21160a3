//! Identity for stand-ins: an authority and a signing key of the day's own, in a folder that goes with it.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use stepspur_conductor::config::Identity;
use stepspur_identity::keys::{
    AnchorEntry, KeyError, KeyId, KeyState, Manifest, ServerEntry, Signer, write_manifest,
};
use stepspur_identity::pki::{Authority, Leaf};
use stepspur_identity::rights::Rights;
use stepspur_identity::tls::{self, ClientCertificates};
use stepspur_identity::token::{Claims, issue};
use tokio_rustls::rustls::ClientConfig;

/// Keys of a day. Tokens live for less than a day, so that proxies must renew them in their streams.
pub struct DayKeys {
    folder: PathBuf,
    authority: Authority,
    signer: Signer,
}

/// The tenant of all proxies of a day.
const TENANT: &str = "rehearsal";
/// A token's life: most days need several.
const LIFE: u64 = 20;

fn now() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_secs()
}

impl DayKeys {
    /// Makes all keys anew.
    ///
    /// # Errors
    /// A folder that cannot be written.
    pub fn new() -> Result<Self, KeyError> {
        let nanos = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_nanos();
        let folder = std::env::temp_dir().join(format!("stepspur-keys-{}-{nanos}", std::process::id()));
        let failed = |error: std::io::Error| KeyError::new(&folder, error);
        std::fs::create_dir_all(&folder).map_err(failed)?;
        let (authority, _) = Authority::new("rehearsal")?;
        std::fs::write(folder.join("ca.pem"), authority.pem()).map_err(failed)?;
        let server = authority.issue(&Leaf::Server(vec![[127, 0, 0, 1].into()]), now() - 60, DAY)?;
        server.save(&folder, "server")?;
        let id = KeyId::try_from("day".to_owned()).map_err(|error| KeyError::new(Path::new("day"), error))?;
        let signer = Signer::new(id);
        let mut manifest = Manifest {
            issuer: "rehearsal".into(),
            audience: "rehearsal".into(),
            anchor: vec![AnchorEntry { file: "ca.pem".into(), state: KeyState::Active }],
            server: Some(ServerEntry { certificates: "server.pem".into(), key: "server.key".into() }),
            ..Manifest::default()
        };
        manifest.rotate(Some(&signer));
        write_manifest(&folder, &manifest)?;
        Ok(Self { folder, authority, signer })
    }

    /// The conductor's settings.
    pub fn config(&self) -> Identity {
        Identity {
            folder: self.folder.clone(),
            tenant: TENANT.into(),
            certificates: ClientCertificates::Required,
            tokens_required: true,
            leeway: Duration::from_secs(1),
            longest_token_life: DAY,
            reload_every: Duration::from_secs(1),
            handshake_timeout: Duration::from_secs(5),
            handshakes_max: 512,
            handshakes_kept: 128,
            handshakes_of_source: 384,
            operators: None,
            audit: self.folder.join("audit.jsonl"),
        }
    }

    /// A proxy's side of TLS.
    ///
    /// # Errors
    /// A name that makes no URI.
    pub fn client(&self, zone: &str, name: &str) -> Result<Arc<ClientConfig>, KeyError> {
        let uri = format!("stepspur://{TENANT}/proxy/{zone}/{name}");
        let own = self.authority.issue(&Leaf::Caller(uri), now() - 60, DAY)?;
        tls::client_config(&[self.authority.anchor()?], Some(own.for_tls()?))
    }

    /// A proxy's token, from now on.
    pub fn token(&self, zone: &str, name: &str) -> Vec<u8> {
        let claims = Claims {
            iss: "rehearsal".into(),
            aud: "rehearsal".into(),
            sub: name.into(),
            tenant: TENANT.into(),
            zone: Some(zone.into()),
            rights: Rights::PROXY,
            nbf: now() - 1,
            exp: now() + LIFE,
        };
        issue(&self.signer, &claims).into_bytes()
    }
}

const DAY: Duration = Duration::from_secs(86_400);

impl Drop for DayKeys {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
