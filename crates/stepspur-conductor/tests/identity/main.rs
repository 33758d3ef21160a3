//! Identity at the sockets: certificates, tokens, rights, tenants, rotation of keys, limits of handshakes.

#[path = "../common/mod.rs"]
mod common;
mod council;
mod handshakes;
mod join;
mod operators;
mod rotation;
mod support;
