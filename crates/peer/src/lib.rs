//! Messages between hosts.
//!
//! The links themselves are those of `fulmarrill-link`.

mod message;
mod wire;

pub use crate::message::{
    ControlDocument, ControlGroup, ControlHosts, ControlUpdate, ControlVersions, NotRunReason,
    PeerCall, PeerReply, PinId, PreparedParse, RecordBatch, WaitHint, WorkAnswer, WorkKind,
    WorkRequest,
};
pub use crate::wire::HostProtocol;
