//! The record of a proxy: its zone, its traffic and its table. It holds no decisions and no constants.

use std::collections::BTreeMap;

use crate::interface::{ClassId, Micros, TableId, ZoneId};

/// A proxy that is connected or has disconnected recently.
#[derive(Default)]
pub(super) struct Proxy {
    /// The zone that the proxy runs in.
    pub(super) zone: ZoneId,
    /// True: its stream to this conductor is open.
    pub(super) connected: bool,
    /// When its stream last ended; 0: never.
    pub(super) disconnected_at: Micros,
    /// Its usual traffic in requests per second, as declared when it connected; above 0.
    pub(super) declared_rate: f64,
    /// Requests per second of each class, smoothed over recent reports.
    pub(super) request_rates: BTreeMap<ClassId, f64>,
    /// Requests per second of each class, smoothed over reports from times without shedding or overload, so
    /// that clients' retries of rejected requests are left out.
    pub(super) usual_rates: BTreeMap<ClassId, f64>,
    /// The subset of its zone that it belongs to, also after a short disconnection.
    pub(super) subset: TableId,
    /// The table that it was last assigned to; `None` until it is assigned one after it connects.
    pub(super) assigned_table: Option<TableId>,
    /// Times of the messages sent to it since it connected that are within the settings' `message_window`.
    pub(super) message_times: Vec<Micros>,
}
