//! `stepspur keys` and `stepspur token`: manage keys and certificates, issue and inspect tokens.

use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use anyhow::Context;
use clap::{Args, Subcommand};
use stepspur_identity::keys::{
    AnchorEntry, KeyError, KeyId, KeyState, ServerEntry, Signer, read_manifest, write_manifest, write_private,
};
use stepspur_identity::pki::{Authority, CertificateSubject, IssuedCertificate};
use stepspur_identity::rights::{Right, Rights};
use stepspur_identity::token::{Claims, UnverifiedToken, decode_unverified, issue};

use crate::ExitStatus;

/// The folder that a command reads or changes.
#[derive(Debug, Args)]
pub(crate) struct KeyFolder {
    /// Folder with `identity.toml`, keys and certificates.
    #[arg(long, default_value = "identity")]
    dir: PathBuf,
}

#[derive(Debug, Subcommand)]
pub(crate) enum KeysCommand {
    /// Create a folder with a first signing key, a certificate authority and a server certificate.
    New {
        #[command(flatten)]
        folder: KeyFolder,
        /// Issuer of tokens (the claim `iss`).
        #[arg(long)]
        issuer: String,
        /// Audience of tokens (the claim `aud`).
        #[arg(long)]
        audience: String,
        /// IP addresses of the conductor, for its server certificate.
        #[arg(long, default_value = "127.0.0.1")]
        address: Vec<IpAddr>,
    },
    /// Rotate signing keys by one step: the next key becomes active and the active one retires. Without a
    /// next key, create one; run the command again once every conductor has reloaded.
    Rotate {
        #[command(flatten)]
        folder: KeyFolder,
    },
    /// Create a new authority and server certificate; the old authority stays trusted until it is revoked.
    RotateAuthority {
        #[command(flatten)]
        folder: KeyFolder,
        /// IP addresses of the conductor, for its server certificate.
        #[arg(long, default_value = "127.0.0.1")]
        address: Vec<IpAddr>,
    },
    /// List keys, authorities and revoked serial numbers, with their states.
    List {
        #[command(flatten)]
        folder: KeyFolder,
    },
    /// Revoke a signing key by its id, an authority by its file, or a certificate by `serial:HEX`.
    Revoke {
        #[command(flatten)]
        folder: KeyFolder,
        /// Id of a signing key or file name of an authority, both as `stepspur keys list` prints them, or
        /// `serial:` and a certificate's serial number in hexadecimal.
        #[arg(value_name = "WHAT")]
        target: String,
    },
    /// Issue a client certificate for `stepspur://TENANT/proxy/ZONE/NAME` or
    /// `stepspur://TENANT/operator/NAME`.
    Cert {
        #[command(flatten)]
        folder: KeyFolder,
        /// URI of the caller.
        uri: String,
        /// Path without extension: writes OUT.pem and OUT.key.
        #[arg(long)]
        out: String,
        /// Validity period of the certificate, such as `12h` or `30d`, from a minute before now.
        #[arg(long, default_value = "30d")]
        life: humantime::Duration,
    },
}

#[derive(Debug, Subcommand)]
pub(crate) enum TokenCommand {
    /// Issue a token, signed with the active key.
    Issue {
        #[command(flatten)]
        folder: KeyFolder,
        /// Tenant of the caller.
        #[arg(long)]
        tenant: String,
        /// Name of the caller (the claim `sub`).
        #[arg(long)]
        name: String,
        /// The only zone that the caller may join; any zone by default.
        #[arg(long)]
        zone: Option<String>,
        /// A right: read_tables, join, report, read_status, change, administer. Default: a proxy's rights.
        #[arg(long = "right", value_parser = parse_right)]
        rights: Vec<Right>,
        /// Validity period of the token, such as `15m` or `1h`, from now.
        #[arg(long, default_value = "1h")]
        life: humantime::Duration,
    },
    /// Print the claims of a token without verifying it.
    Inspect {
        /// Token to print.
        token: String,
    },
}

fn parse_right(name: &str) -> Result<Right, String> {
    Right::from_name(name).ok_or_else(|| format!("`{name}` is not a right"))
}

/// The time now, in seconds since the Unix epoch.
fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default().as_secs()
}

/// A key id or file name that ends with the time of creation, in Unix milliseconds.
fn timestamped_id(prefix: &str) -> anyhow::Result<KeyId> {
    let at = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    KeyId::try_from(format!("{prefix}-{}", at.as_millis())).map_err(anyhow::Error::msg)
}

/// Validity period of a server certificate: two years.
const SERVER_CERTIFICATE_LIFETIME: Duration = Duration::from_secs(86_400 * 365 * 2);

/// How far the start of a certificate's validity lies before its issue, in seconds, for hosts whose clocks
/// are behind.
const CLOCK_SKEW_ALLOWANCE_SECONDS: u64 = 60;

/// Runs a command of `stepspur keys`.
pub(crate) fn keys(command: KeysCommand) -> anyhow::Result<ExitStatus> {
    match command {
        KeysCommand::New { folder, issuer, audience, address } => {
            let dir = folder.dir;
            std::fs::create_dir_all(&dir).with_context(|| dir.display().to_string())?;
            let mut manifest = read_manifest(&dir)?;
            anyhow::ensure!(manifest.issuer.is_empty(), "{}: the folder already has keys", dir.display());
            (manifest.issuer, manifest.audience) = (issuer, audience);
            let signer = Signer::new(timestamped_id("sign")?);
            signer.save(&dir)?;
            manifest.rotate(Some(&signer));
            (manifest.anchor, manifest.server) = create_authority(&dir, &address)?;
            write_manifest(&dir, &manifest)?;
            println!("signing key {}, authority {}", signer.id, manifest.anchor[0].file.display());
        }
        KeysCommand::Rotate { folder } => {
            let mut manifest = read_manifest(&folder.dir)?;
            let has_next = manifest.signing.iter().any(|k| k.state == KeyState::Next);
            let signer = if has_next { None } else { Some(Signer::new(timestamped_id("sign")?)) };
            if let Some(signer) = &signer {
                signer.save(&folder.dir)?;
            }
            manifest.rotate(signer.as_ref());
            write_manifest(&folder.dir, &manifest)?;
            print_keys(&folder.dir)?;
        }
        KeysCommand::RotateAuthority { folder, address } => {
            let mut manifest = read_manifest(&folder.dir)?;
            for anchor in manifest.anchor.iter_mut().filter(|a| a.state == KeyState::Active) {
                anchor.state = KeyState::Retiring;
            }
            let (anchors, server) = create_authority(&folder.dir, &address)?;
            manifest.anchor.extend(anchors);
            manifest.server = server;
            write_manifest(&folder.dir, &manifest)?;
            print_keys(&folder.dir)?;
        }
        KeysCommand::List { folder } => print_keys(&folder.dir)?,
        KeysCommand::Revoke { folder, target } => {
            let mut manifest = read_manifest(&folder.dir)?;
            let mut found = false;
            if let Some(serial) = target.strip_prefix("serial:") {
                manifest.revoked_serials.push(serial.to_owned());
                found = true;
            }
            for key in manifest.signing.iter_mut().filter(|k| k.id.to_string() == target) {
                (key.state, found) = (KeyState::Revoked, true);
            }
            for anchor in manifest.anchor.iter_mut().filter(|a| a.file == Path::new(&target)) {
                (anchor.state, found) = (KeyState::Revoked, true);
            }
            anyhow::ensure!(found, "no key, authority or serial number `{target}`");
            write_manifest(&folder.dir, &manifest)?;
            print_keys(&folder.dir)?;
        }
        KeysCommand::Cert { folder, uri, out, life } => {
            let dir = folder.dir;
            let manifest = read_manifest(&dir)?;
            let anchor = manifest.anchor.iter().find(|a| a.state == KeyState::Active);
            let file = dir.join(&anchor.context("no active authority")?.file);
            let read =
                |path: &Path| std::fs::read_to_string(path).with_context(|| path.display().to_string());
            let private_key = zeroize::Zeroizing::new(read(&file.with_extension("key"))?);
            let authority = Authority::load(&read(&file)?, &private_key)?;
            let issued = authority.issue(
                &CertificateSubject::Caller(uri),
                unix_seconds() - CLOCK_SKEW_ALLOWANCE_SECONDS,
                *life,
            )?;
            let out = PathBuf::from(out);
            let name = out.file_name().and_then(|n| n.to_str()).context("--out must name a file")?;
            issued.save(out.parent().unwrap_or(Path::new("")), name)?;
        }
    }
    Ok(ExitStatus::Success)
}

/// Creates a certificate authority and a server certificate that it issues, and writes both to the folder.
fn create_authority(
    dir: &Path,
    addresses: &[IpAddr],
) -> anyhow::Result<(Vec<AnchorEntry>, Option<ServerEntry>)> {
    let name = timestamped_id("ca")?;
    let (authority, private_key) = Authority::new(&name.to_string())?;
    let file = PathBuf::from(format!("{name}.pem"));
    write_private(&dir.join(format!("{name}.key")), private_key.as_bytes())?;
    std::fs::write(dir.join(&file), authority.pem()).with_context(|| file.display().to_string())?;
    let issued: IssuedCertificate = authority.issue(
        &CertificateSubject::Server(addresses.to_vec()),
        unix_seconds() - CLOCK_SKEW_ALLOWANCE_SECONDS,
        SERVER_CERTIFICATE_LIFETIME,
    )?;
    let server = format!("server-{name}");
    issued.save(dir, &server)?;
    let entry =
        ServerEntry { certificates: format!("{server}.pem").into(), key: format!("{server}.key").into() };
    Ok((vec![AnchorEntry { file, state: KeyState::Active }], Some(entry)))
}

/// Prints issuer, audience, keys, authorities and revoked serial numbers.
fn print_keys(dir: &Path) -> Result<(), KeyError> {
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

/// Runs a command of `stepspur token`.
pub(crate) fn token(command: TokenCommand) -> anyhow::Result<ExitStatus> {
    match command {
        TokenCommand::Issue { folder, tenant, name, zone, rights, life } => {
            let manifest = read_manifest(&folder.dir)?;
            let signer = Signer::load(&folder.dir, manifest.active().context("no active key")?.clone())?;
            let rights = if rights.is_empty() { Rights::PROXY } else { rights.into_iter().collect() };
            let (iss, aud) = (manifest.issuer.clone(), manifest.audience.clone());
            let (nbf, exp) = (unix_seconds(), unix_seconds() + life.as_secs());
            println!("{}", issue(&signer, &Claims { iss, aud, sub: name, tenant, zone, rights, nbf, exp }));
        }
        TokenCommand::Inspect { token } => {
            let UnverifiedToken { key, claims } = decode_unverified(token.as_bytes())?;
            println!("key {key}, not verified");
            println!("{}", serde_json::to_string_pretty(&claims)?);
        }
    }
    Ok(ExitStatus::Success)
}
