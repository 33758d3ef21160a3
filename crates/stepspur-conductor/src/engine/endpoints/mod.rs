//! The endpoint list: what is known of each server, merged from the updates of the list and operators'
//! overrides.
//!
//! - `known`, `store`: one server, and all of them.
//! - `merge`: applies updates of the list; `draft` collects what one changes.
//! - `overrides`, `expiry`: operators' overrides of states; servers that are forgotten.

mod draft;
mod expiry;
mod known;
mod merge;
mod overrides;
mod store;

pub(crate) use store::EndpointStore;
