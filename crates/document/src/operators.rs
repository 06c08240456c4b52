//! The operators' document: ranks, places and services.
//!
//! A service, a place and a rank may each say how old the data may be that
//! their reads see. The service goes before the place, and the place before
//! the rank; with none of them reads are fresh.

use std::time::Duration;

use compact_str::CompactString;
use serde_json::Value;

use crate::error::DocumentError;
use crate::reader::ObjectReader;
use crate::text::parse_json;

/// Longest age that reads may accept.
const AGE_MS_MAX: u64 = 24 * 60 * 60 * 1000;
/// Shortest and longest deadline of a request.
const DEADLINE_MS_MIN: u64 = 10;
const DEADLINE_MS_MAX: u64 = 10 * 60 * 1000;
/// Deadline of a rank that declares none.
const DEADLINE_MS_DEFAULT: u64 = 5000;
/// Largest worth of a rank.
const WORTH_MAX: u64 = 1_000_000;
/// Hours for which request keys are kept: least, most and default.
const KEY_HOURS_MIN: u64 = 1;
const KEY_HOURS_MAX: u64 = 24 * 90;
const KEY_HOURS_DEFAULT: u64 = 24;

/// A rank of work. The order in the document is the order of urgency.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RankDefinition {
    /// Name.
    pub name: CompactString,
    /// Share of each instance's slots that the rank keeps while it has work.
    pub floor_percent: u64,
    /// What an answer inside the deadline is worth, for reports.
    pub worth: u64,
    /// Time within which a request of the rank must be answered.
    pub deadline_ms: u64,
    /// Age that reads of the rank accept; none means fresh.
    pub max_age_ms: Option<u64>,
}

/// A place from which services are called.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlacePolicy {
    /// Name.
    pub name: CompactString,
    /// Age that reads from there accept.
    pub max_age_ms: Option<u64>,
}

/// A service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServicePolicy {
    /// Name, given by callers.
    pub name: CompactString,
    /// Rank of its requests.
    pub rank: CompactString,
    /// Its own deadline, in place of the rank's.
    pub deadline_ms: Option<u64>,
    /// Age that its reads accept.
    pub max_age_ms: Option<u64>,
}

/// The whole document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OperatorDocument {
    /// Ranks, the most urgent first.
    pub ranks: Vec<RankDefinition>,
    /// Places.
    pub places: Vec<PlacePolicy>,
    /// Services.
    pub services: Vec<ServicePolicy>,
    /// Time for which request keys are kept.
    pub key_kept_hours: u64,
}

/// What applies to one session.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestPolicy {
    /// Place of the rank among the ranks.
    pub rank: usize,
    /// Time within which each request must be answered.
    pub timeout: Duration,
    /// Age that reads accept; none means fresh.
    pub max_age: Option<Duration>,
}

impl OperatorDocument {
    /// The document in force before operators wrote one: one rank, fresh reads.
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

    /// Reads a document from JSON with comments.
    ///
    /// # Errors
    ///
    /// Every fault, each with its path.
    pub fn parse(text: &str) -> Result<Self, Vec<DocumentError>> {
        Self::from_value(&parse_json(text)?)
    }

    /// Reads a document from JSON that is already parsed.
    ///
    /// # Errors
    ///
    /// Every fault, each with its path.
    pub fn from_value(value: &Value) -> Result<Self, Vec<DocumentError>> {
        let mut reader = ObjectReader::new("", value);
        let mut faults = Vec::new();
        let mut ranks = Vec::new();
        for (path, item) in reader.list("ranks") {
            ranks.push(read_rank(&path, item, &mut faults));
        }
        let mut places = Vec::new();
        for (path, item) in reader.list("places") {
            places.push(read_place(&path, item, &mut faults));
        }
        let mut services = Vec::new();
        for (path, item) in reader.list("services") {
            services.push(read_service(&path, item, &mut faults));
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
        faults.extend(reader.finish());
        document.check_references(&mut faults);
        if faults.is_empty() {
            Ok(document)
        } else {
            Err(faults)
        }
    }

    fn check_references(&self, faults: &mut Vec<DocumentError>) {
        if self.ranks.is_empty() {
            faults.push(DocumentError::new("ranks", "must name at least one rank"));
        }
        check_unique("ranks", self.ranks.iter().map(|rank| &rank.name), faults);
        check_unique(
            "places",
            self.places.iter().map(|place| &place.name),
            faults,
        );
        check_unique(
            "services",
            self.services.iter().map(|service| &service.name),
            faults,
        );
        let floors: u64 = self.ranks.iter().map(|rank| rank.floor_percent).sum();
        if floors > 100 {
            let message = format!("floors add up to {floors} percent, more than 100");
            faults.push(DocumentError::new("ranks", message));
        }
        for (index, service) in self.services.iter().enumerate() {
            if service.rank.is_empty() || self.rank_index(&service.rank).is_some() {
                continue;
            }
            let message = format!("names the rank {:?}, which is not in ranks", service.rank);
            faults.push(DocumentError::new(
                format!("services[{index}].rank"),
                message,
            ));
        }
    }

    /// Place of a rank among the ranks.
    #[must_use]
    pub fn rank_index(&self, name: &str) -> Option<usize> {
        self.ranks.iter().position(|rank| rank.name == name)
    }

    /// What applies to a session of `service` from `place`. A service that is
    /// not in the document gets the last rank.
    #[must_use]
    pub fn policy_for(&self, service: &str, place: &str) -> RequestPolicy {
        let service = self.services.iter().find(|known| known.name == service);
        let place = self.places.iter().find(|known| known.name == place);
        let last = self.ranks.len().saturating_sub(1);
        let rank = service
            .and_then(|known| self.rank_index(&known.rank))
            .unwrap_or(last);
        let definition = self.ranks.get(rank);
        let deadline_ms = service
            .and_then(|known| known.deadline_ms)
            .or(definition.map(|rank| rank.deadline_ms))
            .unwrap_or(DEADLINE_MS_DEFAULT);
        let max_age_ms = service
            .and_then(|known| known.max_age_ms)
            .or(place.and_then(|known| known.max_age_ms))
            .or(definition.and_then(|rank| rank.max_age_ms));
        RequestPolicy {
            rank,
            timeout: Duration::from_millis(deadline_ms),
            max_age: max_age_ms.filter(|age| *age > 0).map(Duration::from_millis),
        }
    }

    /// Time for which request keys are kept.
    #[must_use]
    pub fn key_retention(&self) -> Duration {
        Duration::from_hours(self.key_kept_hours)
    }
}

fn read_rank(path: &str, value: &Value, faults: &mut Vec<DocumentError>) -> RankDefinition {
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
    faults.extend(reader.finish());
    rank
}

fn read_place(path: &str, value: &Value, faults: &mut Vec<DocumentError>) -> PlacePolicy {
    let mut reader = ObjectReader::new(path, value);
    let place = PlacePolicy {
        name: reader.name("name"),
        max_age_ms: reader.optional_number("max_age_ms", 0..=AGE_MS_MAX),
    };
    faults.extend(reader.finish());
    place
}

fn read_service(path: &str, value: &Value, faults: &mut Vec<DocumentError>) -> ServicePolicy {
    let mut reader = ObjectReader::new(path, value);
    let service = ServicePolicy {
        name: reader.name("name"),
        rank: reader.text("rank"),
        deadline_ms: reader.optional_number("deadline_ms", DEADLINE_MS_MIN..=DEADLINE_MS_MAX),
        max_age_ms: reader.optional_number("max_age_ms", 0..=AGE_MS_MAX),
    };
    faults.extend(reader.finish());
    service
}

fn check_unique<'a>(
    list: &str,
    names: impl Iterator<Item = &'a CompactString>,
    faults: &mut Vec<DocumentError>,
) {
    let mut seen = std::collections::BTreeMap::new();
    for (index, name) in names.enumerate() {
        if name.is_empty() {
            continue;
        }
        if let Some(first) = seen.insert(name, index) {
            let message = format!("the name {name:?} is already used by {list}[{first}]");
            faults.push(DocumentError::new(format!("{list}[{index}].name"), message));
        }
    }
}
