//! The project's own protocol: length-prefixed protobuf frames.

use bytes::Bytes;
use stepspur::interface::{RetryPolicy, ServerId};
use stepspur_proto::{FrameError, FromConductor, encode_frame, from_conductor, v1};

use super::protocol::{GoAway, ProxyProtocol, UpdateStamp};
use super::proxy_update::{AdmissionLevel, ClassAdmission, EjectionChange, ProxyUpdate, ServerWeight};
use super::server_ids::ServerIds;

/// Encodes messages of `stepspur.proxy.v1`: protobuf bodies, each with a length prefix.
#[derive(Clone, Copy, Debug, Default)]
pub struct FramedProtocol;

impl ProxyProtocol for FramedProtocol {
    fn encode_update(
        &self,
        stamp: UpdateStamp,
        update: &ProxyUpdate,
        servers: &ServerIds,
        max_size: usize,
    ) -> Result<Bytes, FrameError> {
        let lines = update.weights.iter().map(|line| weight_line(servers, line)).collect();
        let levels = update.admissions.iter().map(level).collect();
        let withdrawals = update.ejections.iter().map(|change| withdrawal(servers, change)).collect();
        let mut order = match update.complete_table {
            Some(id) => {
                let table = v1::Table { id: u32::from(id.0), lines, levels, withdrawals };
                v1::Order { table: Some(table), ..Default::default() }
            }
            None => v1::Order { lines, levels, withdrawals, ..Default::default() },
        };
        order.mark = update.nonce.map(u32::from);
        order.decided_us = update.decided_at;
        let kind = from_conductor::Kind::Order(order);
        encode_frame(&FromConductor::new(stamp.epoch, stamp.sequence, kind), max_size)
    }

    fn go_away(&self, stamp: UpdateStamp, go_away: GoAway<'_>) -> Bytes {
        let GoAway { reason, detail, retry_after } = go_away;
        let mut message = FromConductor::go_away(stamp.epoch, stamp.sequence, reason, detail);
        if let Some(from_conductor::Kind::Goodbye(goodbye)) = &mut message.kind {
            goodbye.retry_after_us = retry_after;
        }
        encode_frame(&message, usize::MAX).unwrap_or_default()
    }
}

fn address(servers: &ServerIds, server: ServerId) -> Option<v1::Server> {
    servers.address(server).map(Into::into)
}

fn weight_line(servers: &ServerIds, line: &ServerWeight) -> v1::Line {
    v1::Line { server: address(servers, line.server), weight: line.weight }
}

fn withdrawal(servers: &ServerIds, change: &EjectionChange) -> v1::Withdrawal {
    v1::Withdrawal { server: address(servers, change.server), out: change.ejected }
}

fn level(admission: &ClassAdmission) -> v1::Level {
    let resend = match admission.retry_policy {
        RetryPolicy::Never => v1::Resend::Never,
        RetryPolicy::IfNeverStarted => v1::Resend::Unsent,
        RetryPolicy::Once => v1::Resend::Once,
        RetryPolicy::Twice => v1::Resend::Twice,
    };
    let admit = match admission.level {
        AdmissionLevel::Unlimited => None,
        AdmissionLevel::Ratio(ratio) => Some(v1::level::Admit::Share(ratio)),
        AdmissionLevel::RequestsPerSecond(rate) => Some(v1::level::Admit::Rate(rate)),
    };
    v1::Level { class: u32::from(admission.class.0), resend: resend.into(), admit }
}
