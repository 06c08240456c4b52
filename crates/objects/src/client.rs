//! Client of the platform's HTTP API.

use std::time::{Duration, Instant};

use fulmarrill_http::{HttpClient, HttpError, HttpResponse, Method};
use fulmarrill_ownership::HostEntry;
use serde::de::DeserializeOwned;
use serde_json::Value;
use thiserror::Error;

use crate::object::{
    HostList, ObjectKey, ObjectList, ObjectVersion, PutRequest, PutResult, StoredObject,
};

/// Largest value that the store accepts, in bytes. The client checks the whole
/// body of an update, which is slightly larger than the value in it.
const VALUE_BYTES_MAX: usize = 1_000_000;

/// Why a call to the platform failed.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// There was no response. An update may still have been applied.
    #[error("platform: {0}")]
    Http(#[from] HttpError),
    /// The platform responded with an error status.
    #[error("platform: {path} answered {status}: {text}")]
    Status {
        /// Path of the request.
        path: String,
        /// HTTP status.
        status: u16,
        /// Body of the response.
        text: String,
    },
    /// The request cannot be encoded as JSON, or the response is not the
    /// expected JSON.
    #[error("platform: {path}: {source}")]
    Json {
        /// Path of the request.
        path: String,
        /// The error of the JSON encoder or decoder.
        source: serde_json::Error,
    },
    /// The update is larger than the store accepts; nothing was sent.
    #[error("platform: {key}: update of {bytes} bytes exceeds the limit of {VALUE_BYTES_MAX}")]
    TooLarge {
        /// Key of the object.
        key: String,
        /// Size of the encoded update.
        bytes: usize,
    },
}

/// Client of the platform. Every call has a deadline.
///
/// Calls that wait for changes use connections of their own.
#[derive(Debug)]
pub struct PlatformClient {
    calls: HttpClient,
    watches: HttpClient,
}

impl PlatformClient {
    /// Creates a client of the platform at `address`, in the form `IP:PORT`.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            calls: HttpClient::new(address),
            watches: HttpClient::new(address),
        }
    }

    /// Reads one object; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// If there is no valid response before `deadline`.
    pub async fn get(
        &self,
        key: &ObjectKey,
        deadline: Instant,
    ) -> Result<Option<StoredObject>, PlatformError> {
        let path = format!("/v1/objects/{key}");
        let response = self
            .calls
            .request(Method::GET, &path, Vec::new(), deadline)
            .await?;
        if response.status == 404 {
            return Ok(None);
        }
        parse(&path, &response).map(Some)
    }

    /// Writes one object if it is still at version `if_version`.
    ///
    /// # Errors
    ///
    /// If there is no valid response. The update may still have been applied,
    /// unless it was too large or the platform could not be reached.
    pub async fn put(
        &self,
        key: &ObjectKey,
        if_version: ObjectVersion,
        value: Value,
        deadline: Instant,
    ) -> Result<PutResult, PlatformError> {
        let path = format!("/v1/objects/{key}");
        let failed = |source| PlatformError::Json {
            path: path.clone(),
            source,
        };
        let body = serde_json::to_vec(&PutRequest { if_version, value }).map_err(failed)?;
        if body.len() > VALUE_BYTES_MAX {
            return Err(PlatformError::TooLarge {
                key: key.to_string(),
                bytes: body.len(),
            });
        }
        let response = self
            .calls
            .request(Method::PUT, &path, body, deadline)
            .await?;
        if response.status == 409 {
            return serde_json::from_slice(&response.body).map_err(failed);
        }
        parse(&path, &response)
    }

    /// Returns the objects of `kind` that changed after version `after`, waiting
    /// up to `wait` for a change.
    ///
    /// # Errors
    ///
    /// If there is no valid response before `deadline`, which must leave time for
    /// the response after `wait`.
    pub async fn watch(
        &self,
        kind: &str,
        after: ObjectVersion,
        wait: Duration,
        deadline: Instant,
    ) -> Result<ObjectList, PlatformError> {
        let path = format!(
            "/v1/objects/{kind}?after={after}&wait_ms={}",
            wait.as_millis()
        );
        let client = if wait.is_zero() {
            &self.calls
        } else {
            &self.watches
        };
        let response = client
            .request(Method::GET, &path, Vec::new(), deadline)
            .await?;
        parse(&path, &response)
    }

    /// Returns the list of hosts, waiting up to `wait` for one newer than version
    /// `after`.
    ///
    /// # Errors
    ///
    /// If there is no valid response before `deadline`, which must leave time for
    /// the response after `wait`.
    pub async fn watch_hosts(
        &self,
        after: ObjectVersion,
        wait: Duration,
        deadline: Instant,
    ) -> Result<HostList, PlatformError> {
        let path = format!("/v1/hosts?after={after}&wait_ms={}", wait.as_millis());
        let response = self
            .watches
            .request(Method::GET, &path, Vec::new(), deadline)
            .await?;
        parse(&path, &response)
    }

    /// Reports to the platform where this host listens, or that it is leaving.
    ///
    /// # Errors
    ///
    /// If there is no valid response before `deadline`.
    pub async fn announce(&self, host: &HostEntry, deadline: Instant) -> Result<(), PlatformError> {
        let path = "/v1/hosts";
        let failed = |source| PlatformError::Json {
            path: path.to_owned(),
            source,
        };
        let body = serde_json::to_vec(host).map_err(failed)?;
        let response = self
            .calls
            .request(Method::POST, path, body, deadline)
            .await?;
        parse::<Value>(path, &response).map(|_| ())
    }
}

fn parse<T: DeserializeOwned>(path: &str, response: &HttpResponse) -> Result<T, PlatformError> {
    if response.status != 200 {
        let text = String::from_utf8_lossy(&response.body).into_owned();
        return Err(PlatformError::Status {
            path: path.to_owned(),
            status: response.status,
            text,
        });
    }
    serde_json::from_slice(&response.body).map_err(|source| PlatformError::Json {
        path: path.to_owned(),
        source,
    })
}
