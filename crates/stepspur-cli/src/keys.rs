//! `stepspur keys` and `stepspur token`.

use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use anyhow::Context;
use clap::{Args, Subcommand};
use stepspur_identity::keys::{
    AnchorEntry, KeyError, KeyId, KeyState, ServerEntry, Signer, read_manifest, write_manifest, write_private,
};
use stepspur_identity::pki::{Authority, Issued, Leaf};
use stepspur_identity::rights::{Right, Rights};
use stepspur_identity::token::{Claims, UnverifiedToken, decode_unverified, issue};

use crate::End;

/// Where keys stand.
#[derive(Debug, Args)]
pub(crate) struct Folder {
    /// The folder of `identity.toml`.
    #[arg(long, default_value = "identity")]
    dir: PathBuf,
}

#[derive(Debug, Subcommand)]
pub(crate) enum KeysCommand {
    /// Make a folder with a first signing key, an authority and a server certificate.
    New {
        #[command(flatten)]
        folder: Folder,
        /// Who issues tokens.
        #[arg(long)]
        issuer: String,
        /// For whom they are.
        #[arg(long)]
        audience: String,
        /// Addresses of the conductor.
        #[arg(long, default_value = "127.0.0.1")]
        address: Vec<IpAddr>,
    },
    /// Move signing keys one step on: the next one becomes active, the active one retires. With none next, a new one
    /// is made and is next: run it again once every conductor has reloaded.
    Rotate {
        #[command(flatten)]
        folder: Folder,
    },
    /// Make a new authority and server certificate: the old authority retires, and is believed until it is revoked.
    RotateAuthority {
        #[command(flatten)]
        folder: Folder,
        /// Addresses of the conductor.
        #[arg(long, default_value = "127.0.0.1")]
        address: Vec<IpAddr>,
    },
    /// Keys, authorities and revoked serial numbers, with their states.
    List {
        #[command(flatten)]
        folder: Folder,
    },
    /// Revoke a signing key by its id, an authority by its file, or a certificate by `serial:HEX`.
    Revoke {
        #[command(flatten)]
        folder: Folder,
        /// What.
        what: String,
    },
    /// Issue a certificate to a caller: `stepspur://TENANT/proxy/ZONE/NAME` or `stepspur://TENANT/operator/NAME`.
    Cert {
        #[command(flatten)]
        folder: Folder,
        /// The caller.
        uri: String,
        /// Files are OUT.pem and OUT.key.
        #[arg(long)]
        out: String,
        /// How long it holds.
        #[arg(long, default_value = "30d")]
        life: humantime::Duration,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum TokenCommand {
    /// Issue a token, signed by the active key.
    Issue {
        #[command(flatten)]
        folder: Folder,
        /// The tenant.
        #[arg(long)]
        tenant: String,
        /// The caller's name.
        #[arg(long)]
        name: String,
        /// The zone that it may join in; any where left out.
        #[arg(long)]
        zone: Option<String>,
        /// A right: read_tables, join, report, read_status, change, administer. What a proxy needs where left out.
        #[arg(long = "right", value_parser = right)]
        rights: Vec<Right>,
        /// How long it holds.
        #[arg(long, default_value = "1h")]
        life: humantime::Duration,
    },
    /// Show what a token says, without believing it.
    Inspect {
        /// The token.
        token: String,
    },
}

fn right(name: &str) -> Result<Right, String> {
    Right::from_name(name).ok_or_else(|| format!("`{name}` is no right"))
}

fn now() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_secs()
}

/// Names of new keys and files tell when they were made.
fn stamp(what: &str) -> anyhow::Result<KeyId> {
    let at = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    KeyId::try_from(format!("{what}-{}", at.as_millis())).map_err(anyhow::Error::msg)
}

const YEARS: Duration = Duration::from_secs(86_400 * 365 * 2);

pub(crate) fn keys(command: KeysCommand) -> anyhow::Result<End> {
    match command {
        KeysCommand::New { folder, issuer, audience, address } => {
            let dir = folder.dir;
            std::fs::create_dir_all(&dir).with_context(|| dir.display().to_string())?;
            let mut manifest = read_manifest(&dir)?;
            anyhow::ensure!(manifest.issuer.is_empty(), "{}: keys stand here already", dir.display());
            (manifest.issuer, manifest.audience) = (issuer, audience);
            let signer = Signer::new(stamp("sign")?);
            signer.save(&dir)?;
            manifest.rotate(Some(&signer));
            (manifest.anchor, manifest.server) = authority(&dir, &address)?;
            write_manifest(&dir, &manifest)?;
            println!("signing key {}, authority {}", signer.id, manifest.anchor[0].file.display());
        }
        KeysCommand::Rotate { folder } => {
            let mut manifest = read_manifest(&folder.dir)?;
            let next = manifest.signing.iter().any(|k| k.state == KeyState::Next);
            let signer = if next { None } else { Some(Signer::new(stamp("sign")?)) };
            if let Some(signer) = &signer {
                signer.save(&folder.dir)?;
            }
            manifest.rotate(signer.as_ref());
            write_manifest(&folder.dir, &manifest)?;
            list(&folder.dir)?;
        }
        KeysCommand::RotateAuthority { folder, address } => {
            let mut manifest = read_manifest(&folder.dir)?;
            for anchor in manifest.anchor.iter_mut().filter(|a| a.state == KeyState::Active) {
                anchor.state = KeyState::Retiring;
            }
            let (anchors, server) = authority(&folder.dir, &address)?;
            manifest.anchor.extend(anchors);
            manifest.server = server;
            write_manifest(&folder.dir, &manifest)?;
            list(&folder.dir)?;
        }
        KeysCommand::List { folder } => list(&folder.dir)?,
        KeysCommand::Revoke { folder, what } => {
            let mut manifest = read_manifest(&folder.dir)?;
            let mut found = false;
            if let Some(serial) = what.strip_prefix("serial:") {
                manifest.revoked_serials.push(serial.to_owned());
                found = true;
            }
            for key in manifest.signing.iter_mut().filter(|k| k.id.to_string() == what) {
                (key.state, found) = (KeyState::Revoked, true);
            }
            for anchor in manifest.anchor.iter_mut().filter(|a| a.file == Path::new(&what)) {
                (anchor.state, found) = (KeyState::Revoked, true);
            }
            anyhow::ensure!(found, "no key, authority or serial number `{what}`");
            write_manifest(&folder.dir, &manifest)?;
            list(&folder.dir)?;
        }
        KeysCommand::Cert { folder, uri, out, life } => {
            let dir = folder.dir;
            let manifest = read_manifest(&dir)?;
            let anchor = manifest.anchor.iter().find(|a| a.state == KeyState::Active);
            let file = dir.join(&anchor.context("no active authority")?.file);
            let read =
                |path: &Path| std::fs::read_to_string(path).with_context(|| path.display().to_string());
            let secret = zeroize::Zeroizing::new(read(&file.with_extension("key"))?);
            let authority = Authority::load(&read(&file)?, &secret)?;
            let issued = authority.issue(&Leaf::Caller(uri), now() - 60, *life)?;
            let out = PathBuf::from(out);
            let name = out.file_name().and_then(|n| n.to_str()).context("--out must name a file")?;
            issued.save(out.parent().unwrap_or(Path::new("")), name)?;
        }
    }
    Ok(End::Well)
}

/// A new authority, and a server certificate of it.
fn authority(dir: &Path, addresses: &[IpAddr]) -> anyhow::Result<(Vec<AnchorEntry>, Option<ServerEntry>)> {
    let name = stamp("ca")?;
    let (authority, secret) = Authority::new(&name.to_string())?;
    let file = PathBuf::from(format!("{name}.pem"));
    write_private(&dir.join(format!("{name}.key")), secret.as_bytes())?;
    std::fs::write(dir.join(&file), authority.pem()).with_context(|| file.display().to_string())?;
    let issued: Issued = authority.issue(&Leaf::Server(addresses.to_vec()), now() - 60, YEARS)?;
    let server = format!("server-{name}");
    issued.save(dir, &server)?;
    let entry =
        ServerEntry { certificates: format!("{server}.pem").into(), key: format!("{server}.key").into() };
    Ok((vec![AnchorEntry { file, state: KeyState::Active }], Some(entry)))
}

fn list(dir: &Path) -> Result<(), KeyError> {
    let manifest = read_manifest(dir)?;
    println!("issuer {}, audience {}", manifest.issuer, manifest.audience);
    for key in &manifest.signing {
        println!("signing    {:24} {:?}", key.id.to_string(), key.state);
    }
    for anchor in &manifest.anchor {
        println!("authority  {:24} {:?}", anchor.file.display().to_string(), anchor.state);
    }
    for serial in &manifest.revoked_serials {
        println!("serial     {serial:24} Revoked");
    }
    Ok(())
}

pub(crate) fn token(command: TokenCommand) -> anyhow::Result<End> {
    match command {
        TokenCommand::Issue { folder, tenant, name, zone, rights, life } => {
            let manifest = read_manifest(&folder.dir)?;
            let signer = Signer::load(&folder.dir, manifest.active().context("no active key")?.clone())?;
            let rights = if rights.is_empty() { Rights::PROXY } else { rights.into_iter().collect() };
            let (iss, aud) = (manifest.issuer.clone(), manifest.audience.clone());
            let (nbf, exp) = (now(), now() + life.as_secs());
            println!("{}", issue(&signer, &Claims { iss, aud, sub: name, tenant, zone, rights, nbf, exp }));
        }
        TokenCommand::Inspect { token } => {
            let UnverifiedToken { key, claims } = decode_unverified(token.as_bytes())?;
            println!("key {key}, not verified");
            println!("{}", serde_json::to_string_pretty(&claims)?);
        }
    }
    Ok(End::Well)
}
