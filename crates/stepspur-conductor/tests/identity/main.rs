//! Tests of authentication and authorization through sockets: certificates, tokens, rights, tenants, rotation
//! of keys, and limits of handshakes.

#[path = "../common/mod.rs"]
mod common;
mod consensus;
mod handshakes;
mod join;
mod operators;
mod rotation;
mod support;
