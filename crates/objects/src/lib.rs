//! The platform's object API: versions, conditional updates and watches.
//!
//! ```no_run
//! use std::time::{Duration, Instant};
//! use fulmarrill_objects::{ObjectKey, PlatformClient};
//!
//! let client = PlatformClient::new("127.0.0.1:7000");
//! let key = ObjectKey::new("document", "operators");
//! smol::block_on(async {
//!     let deadline = Instant::now() + Duration::from_secs(1);
//!     let held = client.get(&key, deadline).await.unwrap();
//!     let value = serde_json::json!({"services": []});
//!     let version = held.map_or(0, |object| object.version);
//!     client.put(&key, version, value, deadline).await.unwrap();
//! });
//! ```
//!
//! Everything that depends on the platform's own protocol is in
//! [`PlatformClient`]; another platform is met by another type with the same
//! few calls. The protocol is HTTP with JSON bodies:
//!
//! | call | meaning |
//! | --- | --- |
//! | `GET /v1/objects/KIND/NAME` | one object, 404 if there is none |
//! | `GET /v1/objects/KIND?after=V&wait_ms=W` | objects of a kind changed after version V, waiting up to W for one |
//! | `PUT /v1/objects/KIND/NAME` | conditional update, 409 with the version held |
//! | `GET /v1/hosts?after=V&wait_ms=W` | the list of hosts, which lags |
//! | `POST /v1/hosts` | tells the platform where a host listens |

mod client;
mod object;

pub use crate::client::{PlatformClient, PlatformError};
pub use crate::object::{
    HostList, ObjectKey, ObjectList, ObjectVersion, PutRequest, PutResult, StoredObject,
};
