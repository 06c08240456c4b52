//! Messages between hosts and their wire types.
//!
//! [`HostProtocol`] is the protocol of the links, which `fulmarrill-link`
//! implements.

mod message;
mod wire;

pub use crate::message::{
    ControlDocument, ControlGroup, ControlHosts, ControlUpdate, ControlVersions, NotRunReason,
    PeerCall, PeerReply, PinId, PreparedParse, RecordBatch, WaitHint, WorkAnswer, WorkKind,
    WorkRequest,
};
pub use crate::wire::HostProtocol;
