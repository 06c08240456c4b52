//! The client of the platform's HTTP interface.

use std::time::{Duration, Instant};

use fulmarrill_http::{HttpClient, HttpError, HttpResponse, Method};
use fulmarrill_ownership::HostEntry;
use serde::de::DeserializeOwned;
use serde_json::Value;
use thiserror::Error;

use crate::object::{
    HostList, ObjectKey, ObjectList, ObjectVersion, PutRequest, PutResult, StoredObject,
};

/// Largest value that the store takes, in bytes.
const VALUE_BYTES_MAX: usize = 1_000_000;

/// Why a call to the platform failed.
#[derive(Debug, Error)]
pub enum PlatformError {
    /// There was no answer; an update may have taken effect all the same.
    #[error("platform: {0}")]
    Http(#[from] HttpError),
    /// The platform answered with an error.
    #[error("platform: {path} answered {status}: {text}")]
    Status {
        /// Path of the call.
        path: String,
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        text: String,
    },
    /// The answer has another form than this project expects.
    #[error("platform: {path}: {source}")]
    Json {
        /// Path of the call.
        path: String,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// The value is larger than the store takes; nothing was sent.
    #[error("platform: {key} has {bytes} bytes, the store takes {VALUE_BYTES_MAX}")]
    TooLarge {
        /// Key of the object.
        key: String,
        /// Size of its value.
        bytes: usize,
    },
}

/// Calls the platform. Every call has a deadline.
#[derive(Debug)]
pub struct PlatformClient {
    calls: HttpClient,
    watches: HttpClient,
}

impl PlatformClient {
    /// A client of the platform at `address`, `IP:PORT`.
    #[must_use]
    pub fn new(address: &str) -> Self {
        Self {
            calls: HttpClient::new(address),
            watches: HttpClient::new(address),
        }
    }

    /// Reads one object.
    ///
    /// # Errors
    ///
    /// When the platform does not answer in the expected form.
    pub async fn get(
        &self,
        key: &ObjectKey,
        deadline: Instant,
    ) -> Result<Option<StoredObject>, PlatformError> {
        let path = format!("/v1/objects/{key}");
        let answer = self
            .calls
            .request(Method::GET, &path, Vec::new(), deadline)
            .await?;
        if answer.status == 404 {
            return Ok(None);
        }
        parse(&path, &answer).map(Some)
    }

    /// Writes one object if it still has the version `if_version`.
    ///
    /// # Errors
    ///
    /// When there is no proper answer. The update may have taken effect unless
    /// the value was too large or the platform could not be reached.
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
        let answer = self
            .calls
            .request(Method::PUT, &path, body, deadline)
            .await?;
        if answer.status == 409 {
            return serde_json::from_slice(&answer.body).map_err(failed);
        }
        parse(&path, &answer)
    }

    /// Waits up to `wait` for objects of `kind` changed after `after`.
    ///
    /// # Errors
    ///
    /// When the platform does not answer soon after `wait`.
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
        let answer = client
            .request(Method::GET, &path, Vec::new(), deadline)
            .await?;
        parse(&path, &answer)
    }

    /// Waits up to `wait` for a list of hosts newer than `after`.
    ///
    /// # Errors
    ///
    /// When the platform does not answer soon after `wait`.
    pub async fn watch_hosts(
        &self,
        after: ObjectVersion,
        wait: Duration,
        deadline: Instant,
    ) -> Result<HostList, PlatformError> {
        let path = format!("/v1/hosts?after={after}&wait_ms={}", wait.as_millis());
        let answer = self
            .watches
            .request(Method::GET, &path, Vec::new(), deadline)
            .await?;
        parse(&path, &answer)
    }

    /// Tells the platform where this host listens, or that it is leaving.
    ///
    /// # Errors
    ///
    /// When the platform does not answer.
    pub async fn announce(&self, host: &HostEntry, deadline: Instant) -> Result<(), PlatformError> {
        let path = "/v1/hosts";
        let failed = |source| PlatformError::Json {
            path: path.to_owned(),
            source,
        };
        let body = serde_json::to_vec(host).map_err(failed)?;
        let answer = self
            .calls
            .request(Method::POST, path, body, deadline)
            .await?;
        parse::<Value>(path, &answer).map(|_| ())
    }
}

fn parse<T: DeserializeOwned>(path: &str, answer: &HttpResponse) -> Result<T, PlatformError> {
    if answer.status != 200 {
        let text = String::from_utf8_lossy(&answer.body).into_owned();
        return Err(PlatformError::Status {
            path: path.to_owned(),
            status: answer.status,
            text,
        });
    }
    serde_json::from_slice(&answer.body).map_err(|source| PlatformError::Json {
        path: path.to_owned(),
        source,
    })
}
