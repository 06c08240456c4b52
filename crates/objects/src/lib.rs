//! Client of the platform's object API: versions, conditional updates and
//! watches.
//!
//! ```no_run
//! use std::time::{Duration, Instant};
//! use fulmarrill_objects::{ObjectKey, PlatformClient};
//!
//! let client = PlatformClient::new("127.0.0.1:7000");
//! let key = ObjectKey::new("document", "operators");
//! smol::block_on(async {
//!     let deadline = Instant::now() + Duration::from_secs(1);
//!     let stored = client.get(&key, deadline).await.unwrap();
//!     let value = serde_json::json!({"services": []});
//!     let version = stored.map_or(0, |object| object.version);
//!     client.put(&key, version, value, deadline).await.unwrap();
//! });
//! ```
//!
//! All code that depends on the platform's protocol is in [`PlatformClient`]. To
//! support another platform, write another type with the same few methods. The
//! protocol is HTTP with JSON bodies:
//!
//! | call | meaning |
//! | --- | --- |
//! | `GET /v1/objects/KIND/NAME` | one object, 404 if there is none |
//! | `GET /v1/objects/KIND?after=V&wait_ms=W` | objects of a kind changed after version V; waits up to W milliseconds for one |
//! | `PUT /v1/objects/KIND/NAME` | conditional update, 409 with the current version on a conflict |
//! | `GET /v1/hosts?after=V&wait_ms=W` | the list of hosts, which may be out of date; waits like the call above |
//! | `POST /v1/hosts` | reports where a host listens, or that it is leaving |

mod client;
mod object;

pub use crate::client::{PlatformClient, PlatformError};
pub use crate::object::{
    HostList, ObjectKey, ObjectList, ObjectVersion, PutRequest, PutResult, StoredObject,
};
