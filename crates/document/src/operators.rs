//! The operators' document: ranks, places and services.
//!
//! A service, a place and a rank can each set a maximum age of the data that
//! reads return. The setting of the service takes precedence over that of the
//! place, which takes precedence over that of the rank. If none is set, or the one
//! that applies is 0, reads are fresh: a read sees the state at the position of its
//! session or later or, if the session has no position, every commit acknowledged
//! before the read.

use std::time::Duration;

use compact_str::CompactString;
use serde_json::Value;

use crate::error::DocumentError;
use crate::reader::ObjectReader;
use crate::text::parse_json;

/// Largest value of `max_age_ms`: one day.
const AGE_MS_MAX: u64 = 24 * 60 * 60 * 1000;
/// Shortest and longest deadline of a request.
const DEADLINE_MS_MIN: u64 = 10;
const DEADLINE_MS_MAX: u64 = 10 * 60 * 1000;
/// Deadline of a rank that sets none.
const DEADLINE_MS_DEFAULT: u64 = 5000;
/// Largest worth of a rank.
const WORTH_MAX: u64 = 1_000_000;
/// Shortest, longest and default retention of request keys.
const KEY_HOURS_MIN: u64 = 1;
const KEY_HOURS_MAX: u64 = 24 * 90;
const KEY_HOURS_DEFAULT: u64 = 24;

/// A priority class of requests. Ranks are listed with the most urgent first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RankDefinition {
    /// Unique name, by which services refer to the rank.
    pub name: CompactString,
    /// Guaranteed share of each instance's slots while the rank has work, in
    /// percent.
    pub floor_percent: u64,
    /// Weight, for reports, of a response that arrives within its deadline. It is
    /// only validated and stored: no decision of a host depends on it.
    pub worth: u64,
    /// Time from a request of the rank to its deadline.
    pub deadline_ms: u64,
    /// Maximum age of data in reads of the rank; `None` means fresh.
    pub max_age_ms: Option<u64>,
}

/// A place from which callers connect, with its read policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacePolicy {
    /// Unique name, which callers give.
    pub name: CompactString,
    /// Maximum age of data in reads from the place, in place of the rank's.
    pub max_age_ms: Option<u64>,
}

/// A service with its rank and its own limits.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePolicy {
    /// Unique name, which callers give.
    pub name: CompactString,
    /// Name of the rank of its requests.
    pub rank: CompactString,
    /// Time from a request to its deadline, in place of the rank's.
    pub deadline_ms: Option<u64>,
    /// Maximum age of data in its reads, in place of the place's and the rank's.
    pub max_age_ms: Option<u64>,
}

/// The operators' document, checked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorDocument {
    /// Ranks, with the most urgent first.
    pub ranks: Vec<RankDefinition>,
    /// Places with a read policy of their own.
    pub places: Vec<PlacePolicy>,
    /// Known services.
    pub services: Vec<ServicePolicy>,
    /// Retention of request keys.
    pub key_kept_hours: u64,
}

/// The policy for the requests of one session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestPolicy {
    /// Index of the rank; 0 is the most urgent.
    pub rank: usize,
    /// Time from a request to its deadline.
    pub timeout: Duration,
    /// Maximum age of data in reads; `None` means fresh.
    pub max_age: Option<Duration>,
}

impl OperatorDocument {
    /// Creates the document that applies until operators write one: a single rank
    /// and fresh reads.
    #[must_use]
    pub fn initial() -> Self {
        let rank = RankDefinition {
            name: "ordinary".into(),
            floor_percent: 100,
            worth: 1,
            deadline_ms: DEADLINE_MS_DEFAULT,
            max_age_ms: None,
        };
        Self {
            ranks: vec![rank],
            places: Vec::new(),
            services: Vec::new(),
            key_kept_hours: KEY_HOURS_DEFAULT,
        }
    }

    /// Parses a document from JSON with comments.
    ///
    /// # Errors
    ///
    /// All errors, each with its path.
    pub fn parse(text: &str) -> Result<Self, Vec<DocumentError>> {
        Self::from_value(&parse_json(text)?)
    }

    /// Reads a document from parsed JSON.
    ///
    /// # Errors
    ///
    /// All errors, each with its path.
    pub fn from_value(value: &Value) -> Result<Self, Vec<DocumentError>> {
        let mut reader = ObjectReader::new("", value);
        let mut errors = Vec::new();
        let mut ranks = Vec::new();
        for (path, item) in reader.list("ranks") {
            ranks.push(read_rank(&path, item, &mut errors));
        }
        let mut places = Vec::new();
        for (path, item) in reader.list("places") {
            places.push(read_place(&path, item, &mut errors));
        }
        let mut services = Vec::new();
        for (path, item) in reader.list("services") {
            services.push(read_service(&path, item, &mut errors));
        }
        let hours = reader.number(
            "key_kept_hours",
            KEY_HOURS_MIN..=KEY_HOURS_MAX,
            KEY_HOURS_DEFAULT,
        );
        let document = Self {
            ranks,
            places,
            services,
            key_kept_hours: hours,
        };
        errors.extend(reader.finish());
        document.validate(&mut errors);
        if errors.is_empty() {
            Ok(document)
        } else {
            Err(errors)
        }
    }

    fn validate(&self, errors: &mut Vec<DocumentError>) {
        if self.ranks.is_empty() {
            errors.push(DocumentError::new("ranks", "must name at least one rank"));
        }
        check_unique("ranks", self.ranks.iter().map(|rank| &rank.name), errors);
        check_unique(
            "places",
            self.places.iter().map(|place| &place.name),
            errors,
        );
        check_unique(
            "services",
            self.services.iter().map(|service| &service.name),
            errors,
        );
        let floors: u64 = self.ranks.iter().map(|rank| rank.floor_percent).sum();
        if floors > 100 {
            let message = format!("floors add up to {floors} percent, more than 100");
            errors.push(DocumentError::new("ranks", message));
        }
        for (index, service) in self.services.iter().enumerate() {
            if service.rank.is_empty() || self.rank_index(&service.rank).is_some() {
                continue;
            }
            let message = format!("names the rank {:?}, which is not in ranks", service.rank);
            errors.push(DocumentError::new(
                format!("services[{index}].rank"),
                message,
            ));
        }
    }

    /// Returns the index of a rank; 0 is the most urgent.
    #[must_use]
    pub fn rank_index(&self, name: &str) -> Option<usize> {
        self.ranks.iter().position(|rank| rank.name == name)
    }

    /// Returns the policy for a session of `service` from `place`. A service that is
    /// not in the document gets the last rank.
    #[must_use]
    pub fn policy_for(&self, service: &str, place: &str) -> RequestPolicy {
        let service = self.services.iter().find(|policy| policy.name == service);
        let place = self.places.iter().find(|policy| policy.name == place);
        let last_rank = self.ranks.len().saturating_sub(1);
        let rank = service
            .and_then(|policy| self.rank_index(&policy.rank))
            .unwrap_or(last_rank);
        let definition = self.ranks.get(rank);
        let deadline_ms = service
            .and_then(|policy| policy.deadline_ms)
            .or(definition.map(|rank| rank.deadline_ms))
            .unwrap_or(DEADLINE_MS_DEFAULT);
        let max_age_ms = service
            .and_then(|policy| policy.max_age_ms)
            .or(place.and_then(|policy| policy.max_age_ms))
            .or(definition.and_then(|rank| rank.max_age_ms));
        RequestPolicy {
            rank,
            timeout: Duration::from_millis(deadline_ms),
            max_age: max_age_ms.filter(|age| *age > 0).map(Duration::from_millis),
        }
    }

    /// Returns the retention of request keys.
    #[must_use]
    pub fn key_retention(&self) -> Duration {
        Duration::from_hours(self.key_kept_hours)
    }
}

fn read_rank(path: &str, value: &Value, errors: &mut Vec<DocumentError>) -> RankDefinition {
    let mut reader = ObjectReader::new(path, value);
    let rank = RankDefinition {
        name: reader.name("name"),
        floor_percent: reader.number("floor_percent", 0..=100, 0),
        worth: reader.number("worth", 0..=WORTH_MAX, 1),
        deadline_ms: reader.number(
            "deadline_ms",
            DEADLINE_MS_MIN..=DEADLINE_MS_MAX,
            DEADLINE_MS_DEFAULT,
        ),
        max_age_ms: reader.optional_number("max_age_ms", 0..=AGE_MS_MAX),
    };
    errors.extend(reader.finish());
    rank
}

fn read_place(path: &str, value: &Value, errors: &mut Vec<DocumentError>) -> PlacePolicy {
    let mut reader = ObjectReader::new(path, value);
    let place = PlacePolicy {
        name: reader.name("name"),
        max_age_ms: reader.optional_number("max_age_ms", 0..=AGE_MS_MAX),
    };
    errors.extend(reader.finish());
    place
}

fn read_service(path: &str, value: &Value, errors: &mut Vec<DocumentError>) -> ServicePolicy {
    let mut reader = ObjectReader::new(path, value);
    let service = ServicePolicy {
        name: reader.name("name"),
        rank: reader.string("rank"),
        deadline_ms: reader.optional_number("deadline_ms", DEADLINE_MS_MIN..=DEADLINE_MS_MAX),
        max_age_ms: reader.optional_number("max_age_ms", 0..=AGE_MS_MAX),
    };
    errors.extend(reader.finish());
    service
}

fn check_unique<'a>(
    list: &str,
    names: impl Iterator<Item = &'a CompactString>,
    errors: &mut Vec<DocumentError>,
) {
    let mut seen = std::collections::BTreeMap::new();
    for (index, name) in names.enumerate() {
        if name.is_empty() {
            continue;
        }
        if let Some(first) = seen.insert(name, index) {
            let message = format!("the name {name:?} is already used by {list}[{first}]");
            errors.push(DocumentError::new(format!("{list}[{index}].name"), message));
        }
    }
}
