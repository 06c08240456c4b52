//! Messages between hosts.
//!
//! The links themselves are those of `fulmarrill-link`.

mod message;
mod wire;

pub use crate::message::{
    ControlDocument, ControlGroup, ControlHosts, ControlNews, ControlVersions, HostHint,
    NotRunReason, PeerCall, PeerReply, PinId, PreparedParse, RecordBatch, WorkAnswer, WorkKind,
    WorkRequest,
};
pub use crate::wire::HostProtocol;
