//! The token buckets that a lender keeps.

use std::collections::HashMap;
use std::collections::hash_map::Entry;
use std::time::Duration;

use compact_str::CompactString;

use crate::terms::{Guards, LendTerms, Moment, SpendLine, Verdict, even_share};
use crate::{ACTIVE_TIME, HANDOVER_TIME, SILENCE};

/// Longest time that a verdict names. A raised limit shows within this time. It is longer
/// than a window, so that in one window each spender uses its float only once.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(10);

/// Part of the tolerance that a new bucket starts with. After a power loss of all hosts,
/// callers come back at once, and an empty bucket refuses most of them. Floats take half
/// of the tolerance, so a change of the lender and its return stay within it.
const FIRST_TOKENS_SHARE: f64 = 0.25;

/// Time for which late reports of a run that has ended are told from those of a new one.
const EARLIER_RUN_TIME: Duration = Duration::from_mins(1);

/// What the reports of one run of a spender have counted.
#[derive(Debug, Clone, Copy, Default)]
struct CountedRun {
    run: u64,
    sequence: u64,
    admitted: u64,
    refunded: u64,
    heard_at: Moment,
}

impl CountedRun {
    fn new(run: u64) -> Self {
        Self {
            run,
            ..Self::default()
        }
    }

    /// Returns the operations and the refunds that a report adds to those before it; `None`
    /// if a later report of the run has come before.
    fn add(&mut self, now: Moment, line: SpendLine, guards: Guards) -> Option<(f64, f64)> {
        if line.sequence < self.sequence && guards.sequence {
            return None;
        }
        let (admitted, refunded) = if guards.sequence {
            (
                line.admitted.saturating_sub(self.admitted),
                line.refunded.saturating_sub(self.refunded),
            )
        } else {
            (line.admitted, line.refunded)
        };
        self.sequence = line.sequence;
        self.admitted = line.admitted;
        self.refunded = line.refunded;
        self.heard_at = now;
        #[expect(
            clippy::cast_precision_loss,
            reason = "a report counts far fewer than 2^52 operations"
        )]
        let added = (admitted as f64, refunded as f64);
        Some(added)
    }
}

/// What a lender knows of one spender.
#[derive(Debug, Clone, Default)]
struct KnownSpender {
    current: CountedRun,
    /// Runs before the current one, of which reports may still come.
    earlier: Vec<CountedRun>,
    /// Whether it may use its share: every report but the last says so.
    is_active: bool,
    /// Tokens set aside for it while it is silent.
    reserved: f64,
    /// Operations that took tokens set aside, and that may still be given back.
    covered: f64,
    /// Operations that it has admitted and not sent yet.
    waiting: u64,
}

impl KnownSpender {
    fn new(run: u64) -> Self {
        Self {
            current: CountedRun::new(run),
            ..Self::default()
        }
    }

    fn is_silent(&self, now: Moment) -> bool {
        self.is_active && now > self.current.heard_at + SILENCE
    }

    /// Returns what the reports of an earlier run have counted.
    fn earlier_run(&mut self, run: u64) -> Option<&mut CountedRun> {
        self.earlier.iter_mut().find(|counted| counted.run == run)
    }

    /// Returns the operations that take tokens of the bucket, and those that return theirs.
    ///
    /// What it did not use of its share is lost: a full bucket would not have gained it. So
    /// is what operations give back that took tokens set aside.
    fn use_reserved(&mut self, admitted: f64, refunded: f64) -> (f64, f64) {
        let covered = admitted.min(std::mem::take(&mut self.reserved));
        self.covered += covered;
        let lost = refunded.min(self.covered);
        self.covered -= lost;
        (admitted - covered, refunded - lost)
    }

    /// Begins a new run. The operations that the one before has not reported are lost with
    /// it, and so is what it has used of its share.
    fn begin_run(&mut self, now: Moment, run: u64) {
        let mut earlier = std::mem::take(&mut self.earlier);
        earlier.retain(|counted| now < counted.heard_at + EARLIER_RUN_TIME);
        earlier.push(self.current);
        *self = Self {
            earlier,
            ..Self::new(run)
        };
    }

    /// Takes an earlier run for the current one again if it still reports while that one is
    /// silent: the first report of the run that ended had come after those of its successor.
    fn resume_run(&mut self, now: Moment, run: u64) {
        if self.is_silent(now)
            && let Some(index) = self.earlier.iter().position(|counted| counted.run == run)
        {
            std::mem::swap(&mut self.current, &mut self.earlier[index]);
        }
    }
}

/// The bucket of one customer.
#[derive(Debug, Clone)]
struct Bucket {
    epoch: u64,
    terms: LendTerms,
    tokens: f64,
    settled_at: Moment,
    spenders: HashMap<CompactString, KnownSpender>,
}

impl Bucket {
    /// Creates a bucket that held its first tokens at `gains_from` and has gained since.
    fn new(epoch: u64, now: Moment, gains_from: Moment, terms: LendTerms, guards: Guards) -> Self {
        let limit = terms.limit;
        let gained = limit.per_second * now.saturating_sub(gains_from).as_secs_f64();
        let tokens = if guards.empty_start {
            let first = terms.tolerance.above(limit) * FIRST_TOKENS_SHARE;
            (first + gained).min(limit.burst)
        } else {
            limit.burst
        };
        Self {
            epoch,
            terms,
            tokens,
            settled_at: now.max(gains_from),
            spenders: HashMap::new(),
        }
    }

    /// Applies a changed limit and number of owners: a lower burst cuts the tokens, a
    /// higher one adds none.
    fn change(&mut self, terms: LendTerms) {
        self.terms = terms;
        self.tokens = self.tokens.min(terms.limit.burst);
    }

    /// Adds the tokens since the last call, less those that are set aside.
    fn settle(&mut self, now: Moment, guards: Guards) {
        let elapsed = now.saturating_sub(self.settled_at).as_secs_f64();
        let mut added = self.terms.limit.per_second * elapsed;
        let share = even_share(self.terms.limit, self.terms.owners);
        for spender in self.spenders.values_mut() {
            if !guards.set_aside || !spender.is_silent(now) {
                continue;
            }
            let silent_since = self.settled_at.max(spender.current.heard_at + SILENCE);
            let reserved = share * now.saturating_sub(silent_since).as_secs_f64();
            spender.reserved += reserved;
            added -= reserved;
        }
        self.gain(added.max(0.0), guards);
        self.settled_at = self.settled_at.max(now);
    }

    /// Tokens up to which the bucket gains more. Operations that wait may be sent all at
    /// once, so they take the place of tokens.
    fn most_tokens(&self, guards: Guards) -> f64 {
        if !guards.waiting {
            return self.terms.limit.burst;
        }
        let waiting: u64 = self.spenders.values().map(|known| known.waiting).sum();
        #[expect(
            clippy::cast_precision_loss,
            reason = "far fewer than 2^52 operations wait"
        )]
        let waiting = waiting as f64;
        self.terms.limit.burst - (waiting - self.terms.tolerance.waiting(self.terms.limit)).max(0.0)
    }

    fn gain(&mut self, added: f64, guards: Guards) {
        let most = self.most_tokens(guards).max(self.tokens);
        self.tokens = (self.tokens + added).min(most);
    }

    fn take(&mut self, admitted: f64, refunded: f64) {
        self.tokens = (self.tokens + refunded).min(self.terms.limit.burst);
        self.tokens -= admitted;
    }

    fn verdict(&self) -> Verdict {
        if self.tokens >= 0.0 {
            return Verdict {
                epoch: self.epoch,
                over_by: 0,
                retry_after: Duration::ZERO,
            };
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the conversion saturates"
        )]
        let over_by = (-self.tokens).ceil() as u64;
        let seconds = -self.tokens / self.terms.limit.per_second.max(f64::MIN_POSITIVE);
        let longest = RETRY_AFTER_MAX.as_secs_f64();
        // Rounded up to a millisecond, the unit in which it is sent.
        let retry_after = Duration::from_secs_f64(((seconds.min(longest)) * 1e3).ceil() / 1e3);
        Verdict {
            epoch: self.epoch,
            over_by,
            retry_after,
        }
    }
}

/// State of one bucket, for diagnostics.
#[derive(Debug, Clone, PartialEq)]
pub struct BucketState {
    /// Tokens when it was last used.
    pub tokens: f64,
    /// Spenders that are silent.
    pub silent: Vec<CompactString>,
}

/// The buckets of all customers that one host lends to.
#[derive(Debug, Clone)]
pub struct LenderState {
    next_epoch: u64,
    since: Moment,
    guards: Guards,
    buckets: HashMap<CompactString, Bucket>,
}

impl LenderState {
    /// Creates a lender without buckets. `seed` differs for each run of a host, and is
    /// the first of its epochs.
    #[must_use]
    pub fn new(seed: u64, now: Moment) -> Self {
        Self {
            next_epoch: seed.max(1),
            since: now,
            guards: Guards::default(),
            buckets: HashMap::new(),
        }
    }

    /// Switches guards off, for tests.
    #[must_use]
    pub fn with_guards(mut self, guards: Guards) -> Self {
        self.guards = guards;
        self
    }

    /// Drops the buckets of customers that this host no longer lends to. Those that it
    /// lends to from now on start with the first tokens only.
    pub fn retain(&mut self, now: Moment, lends_to: impl Fn(&str) -> bool) {
        self.buckets.retain(|customer, _| lends_to(customer));
        self.since = now;
    }

    /// Counts what the spender `from` reports of a customer. `terms` are those that
    /// this host knows.
    pub fn count(
        &mut self,
        now: Moment,
        customer: &str,
        from: &str,
        line: SpendLine,
        terms: LendTerms,
    ) -> Verdict {
        let guards = self.guards;
        let bucket = match self.buckets.entry(customer.into()) {
            Entry::Occupied(entry) => entry.into_mut(),
            Entry::Vacant(entry) => {
                let epoch = self.next_epoch;
                self.next_epoch = epoch.wrapping_add(1).max(1);
                let gains_from = self.since + HANDOVER_TIME;
                entry.insert(Bucket::new(epoch, now, gains_from, terms, guards))
            }
        };
        bucket.settle(now, guards);
        bucket.change(terms);
        if line.epoch != bucket.epoch && guards.epoch {
            return bucket.verdict();
        }
        let spender = bucket.spenders.entry(from.into());
        let spender = spender.or_insert_with(|| KnownSpender::new(line.run));
        spender.resume_run(now, line.run);
        if let Some(counted) = spender.earlier_run(line.run) {
            if let Some((admitted, refunded)) = counted.add(now, line, guards) {
                bucket.take(admitted, refunded);
            }
            return bucket.verdict();
        }
        if spender.current.run != line.run {
            spender.begin_run(now, line.run);
        }
        let Some((admitted, refunded)) = spender.current.add(now, line, guards) else {
            return bucket.verdict();
        };
        let (admitted, refunded) = spender.use_reserved(admitted, refunded);
        spender.is_active = !line.is_last;
        spender.waiting = line.waiting;
        if line.waiting == 0 {
            spender.covered = 0.0;
        }
        bucket.take(admitted, refunded);
        bucket.verdict()
    }

    /// Sets nothing aside for spenders that are no longer owners, or not in that run, and
    /// were silent for longer than spenders report after their last operation.
    pub fn forget_spenders(&mut self, now: Moment, is_owner: impl Fn(&str, u64) -> bool) {
        let guards = self.guards;
        for bucket in self.buckets.values_mut() {
            bucket.settle(now, guards);
            for (name, spender) in &mut bucket.spenders {
                let CountedRun { run, heard_at, .. } = spender.current;
                if !is_owner(name, run) && now > heard_at + ACTIVE_TIME {
                    spender.is_active = false;
                    spender.waiting = 0;
                    spender.reserved = 0.0;
                }
            }
        }
    }

    /// The state of each bucket, by customer.
    pub fn buckets(&self, now: Moment) -> impl Iterator<Item = (&CompactString, BucketState)> {
        self.buckets.iter().map(move |(customer, bucket)| {
            let mut silent = Vec::new();
            for (name, spender) in &bucket.spenders {
                if spender.is_silent(now) {
                    silent.push(name.clone());
                }
            }
            silent.sort();
            let tokens = bucket.tokens;
            (customer, BucketState { tokens, silent })
        })
    }
}
