//! The record of a proxy. It holds no decisions and no constants.

use std::collections::BTreeMap;

use crate::interface::{ClassId, Micros, TableId, ZoneId};

/// A proxy that is connected, or was not long ago.
#[derive(Default)]
pub(super) struct Proxy {
    /// Its zone.
    pub(super) zone: ZoneId,
    /// True: its stream is open.
    pub(super) connected: bool,
    /// When its stream last ended.
    pub(super) disconnected_at: Micros,
    /// Its usual traffic as given when it connected, in requests per second.
    pub(super) listed_rate: f64,
    /// Requests per second by class, as reported and smoothed.
    pub(super) request_rates: BTreeMap<ClassId, f64>,
    /// The same while nothing was shed, without clients' repeats of rejected requests.
    pub(super) usual_rates: BTreeMap<ClassId, f64>,
    /// The subset of its zone that it belongs to.
    pub(super) subset: TableId,
    /// The table that it is assigned to.
    pub(super) assigned_table: Option<TableId>,
    /// When messages were written to it since it connected, within the settings' `message_window`.
    pub(super) message_times: Vec<Micros>,
}
