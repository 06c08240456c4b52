//! Messages between hosts and their wire types.
//!
//! [`HostProtocol`] defines them as the calls and replies of a `fulmarrill-link`
//! link.

mod message;
mod wire;

pub use crate::message::{
    ControlDocument, ControlGroup, ControlHosts, ControlUpdate, ControlVersions, NotRunReason,
    PeerCall, PeerReply, PinId, PreparedParse, RecordBatch, WaitHint, WorkAnswer, WorkKind,
    WorkRequest,
};
pub use crate::wire::HostProtocol;
