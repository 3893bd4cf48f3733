//! The client side of polls, on agents, relays and entry hosts.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use log::debug;
use log::info;
use rand::Rng;

use crate::Membership;
use crate::OwnerValue;
use crate::Payload;
use crate::RelayList;
use crate::Report;
use crate::Role;
use crate::SyncAnswer;
use crate::SyncRequest;
use crate::SyncTimings;
use crate::View;
use crate::delivery::DeliveryTracker;
use crate::history::VersionStep;
use crate::upstreams::Upstreams;
use nutmegwalk_base::Error;
use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::Result;
use nutmegwalk_config::apply;
use nutmegwalk_net::Client;
use nutmegwalk_net::Drain;
use nutmegwalk_net::Message;
use nutmegwalk_net::decode;
use nutmegwalk_net::encode;

/// Maximum number of upstreams tried in one round; those that failed come last in the next round.
const MAX_ATTEMPTS_PER_ROUND: usize = 5;
/// Number of answers without a recent view after which a round ends. During an outage of the store no
/// upstream has a recent view, and polling all of them would multiply the load.
const MAX_STALE_ANSWERS_PER_ROUND: usize = 2;

/// Maximum number of upstreams whose deliveries are tracked; bounded because relays change over time.
const MAX_TRACKED_UPSTREAMS: usize = 64;

/// Traffic counters of one client since its creation.
#[derive(Clone, Copy, Debug, Default)]
pub struct SyncCounters {
    /// Polls that were answered.
    pub polls: u64,
    /// Polls that failed or timed out.
    pub failures: u64,
    /// Total size of request bodies in bytes.
    pub sent_bytes: u64,
    /// Total size of answer bodies in bytes.
    pub received_bytes: u64,
}

/// Refreshes a view from upstreams and sends them reports.
pub struct SyncClient {
    client: Client,
    view: View,
    timings: SyncTimings,
    report: RefCell<Report>,
    members: Option<Membership>,
    relays: RelayList,
    upstreams: RefCell<Upstreams>,
    deliveries: RefCell<BTreeMap<SocketAddr, DeliveryTracker>>,
    counters: Cell<SyncCounters>,
}

impl SyncClient {
    /// Creates a client that refreshes `view` from the entry hosts and sends them `report`.
    #[must_use]
    pub fn new(
        client: Client,
        view: View,
        report: Report,
        entries: Vec<SocketAddr>,
        timings: SyncTimings,
    ) -> Self {
        let upstreams = Upstreams::new(report.process.clone(), entries);
        Self {
            client,
            view,
            timings,
            report: RefCell::new(report),
            members: None,
            relays: RelayList::default(),
            upstreams: RefCell::new(upstreams),
            deliveries: RefCell::default(),
            counters: Cell::default(),
        }
    }

    /// Makes the client also forward the reports of the processes that report to this one.
    #[must_use]
    pub fn with_forwarded_members(mut self, members: Membership) -> Self {
        self.members = Some(members);
        self
    }

    /// Returns the relays that the upstream announced, for the server of this process.
    #[must_use]
    pub fn relays(&self) -> RelayList {
        Rc::clone(&self.relays)
    }

    /// Returns the traffic counters so far.
    #[must_use]
    pub fn counters(&self) -> SyncCounters {
        self.counters.get()
    }

    /// Returns the upstream in use; `None` before the first success and after it failed.
    #[must_use]
    pub fn upstream(&self) -> Option<SocketAddr> {
        self.upstreams.borrow().current()
    }

    /// Replaces the list of entry hosts.
    pub fn set_entries(&self, entries: Vec<SocketAddr>) {
        self.upstreams.borrow_mut().set_entries(entries);
    }

    /// Replaces the list of entry hosts of other regions. They are polled only when the other upstreams fail,
    /// because traffic between regions is paid for by volume.
    pub fn set_remote_entries(&self, entries: Vec<SocketAddr>) {
        self.upstreams.borrow_mut().set_remote_entries(entries);
    }

    /// Replaces the payload of the report; a payload equal to the current one is not sent again.
    pub fn set_payload(&self, payload: &[u8]) {
        let mut report = self.report.borrow_mut();
        if report.payload.as_bytes() != payload {
            report.payload = Payload::new(payload);
            report.revision += 1;
        }
    }

    /// Sets whether the report marks this process as shutting down.
    pub fn set_draining(&self, draining: bool) {
        let mut report = self.report.borrow_mut();
        if report.draining != draining {
            report.draining = draining;
            report.revision += 1;
        }
    }

    /// Polls one upstream at the configured interval until `drain` starts. When it fails, the next one is
    /// polled immediately.
    pub async fn run(&self, drain: Drain) {
        // Spreads the polls of agents that start at the same time.
        let spread = self.timings.poll_interval.mul_f64(rand::rng().random());
        let mut pause = self.first_pause(spread);
        while !drain.is_started() {
            compio::time::sleep(pause).await;
            let started = Instant::now();
            if self.poll_any().await.is_err() {
                debug!("no upstream answered");
            }
            pause = self.timings.poll_interval.saturating_sub(started.elapsed());
        }
    }

    /// Polls every entry host at the configured interval until `drain` starts. Entry hosts poll each other in
    /// this way, so that each has the reports of all processes and gets a view when it cannot reach the store.
    pub async fn poll_entry_hosts(&self, drain: Drain) {
        while !drain.is_started() {
            let started = Instant::now();
            let entries = self.upstreams.borrow().entries().to_vec();
            join_all(entries.into_iter().map(|entry| self.poll(entry))).await;
            let pause = self.timings.poll_interval.saturating_sub(started.elapsed());
            compio::time::sleep(pause).await;
        }
    }

    /// Returns the delay of the first poll. A process without a confirmed view waits for only a tenth of
    /// `spread`, because it can start no work before.
    fn first_pause(&self, spread: Duration) -> Duration {
        match self.view.age() {
            None => spread / 10,
            Some(_) => spread,
        }
    }

    /// Polls upstreams in the order of preference until one has a recent view, with a limit on the attempts.
    ///
    /// # Errors
    /// `unreachable` when there is no upstream, otherwise the error of the last one when none answered.
    pub async fn poll_any(&self) -> Result<()> {
        let order = self
            .upstreams
            .borrow()
            .by_preference(&self.relays.borrow(), Instant::now());
        let detail = "there is no upstream";
        let mut result = Err(Error::new(ErrorKind::Unreachable, detail));
        let mut stale_answers = 0;
        for to in order.into_iter().take(MAX_ATTEMPTS_PER_ROUND) {
            let polled = self.poll(to).await;
            let now = Instant::now();
            let mut upstreams = self.upstreams.borrow_mut();
            match polled {
                Ok(age) if age.is_some_and(|age| age < self.timings.max_upstream_age) => {
                    if upstreams.current() != Some(to) {
                        info!("using upstream {to}");
                    }
                    upstreams.record_success(to);
                    return Ok(());
                }
                // The answer was applied, but another upstream may have a newer view.
                Ok(_) => {
                    upstreams.record_failure(to, now);
                    result = Ok(());
                    stale_answers += 1;
                    if stale_answers == MAX_STALE_ANSWERS_PER_ROUND {
                        break;
                    }
                }
                Err(error) => {
                    upstreams.record_failure(to, now);
                    debug!("upstream {to} failed: {error}");
                    if result.is_err() {
                        result = Err(error);
                    }
                }
            }
        }
        result
    }

    /// Polls `to` once and applies its answer; returns the age of its view as [`SyncClient::accept`] does.
    ///
    /// # Errors
    /// The error of the request or of its answer, or that of [`SyncClient::accept`].
    pub async fn poll(&self, to: SocketAddr) -> Result<Option<Duration>> {
        let sent = Instant::now();
        let request = self.build_request(to, sent);
        let result = self.exchange(to, &request).await;
        let mut counters = self.counters.get();
        match &result {
            Ok(_) => counters.polls += 1,
            Err(_) => counters.failures += 1,
        }
        self.counters.set(counters);
        // A failure leaves the deliveries unchanged: reports without an answer are sent again, and an
        // upstream that restarted without state requests the reports that it lacks.
        let answer = result?;
        let mut deliveries = self.deliveries.borrow_mut();
        let tracker = deliveries.entry(to).or_default();
        tracker.record_answer(&request.reports, &answer.wanted, sent);
        drop(deliveries);
        self.accept(answer, sent)
    }

    /// Sends one request and decodes its answer.
    async fn exchange(&self, to: SocketAddr, request: &SyncRequest) -> Result<SyncAnswer> {
        let body = encode(request)?;
        let mut counters = self.counters.get();
        counters.sent_bytes += body.len() as u64;
        self.counters.set(counters);
        let response = self
            .client
            .request(
                http::Method::POST,
                to,
                SyncRequest::PATH,
                &[],
                body,
                self.timings.poll_timeout,
            )
            .await?;
        let mut counters = self.counters.get();
        counters.received_bytes += response.body.len() as u64;
        self.counters.set(counters);
        if response.status == 200 {
            return decode(&response.body);
        }
        Err(decode(&response.body).unwrap_or_else(|_| {
            let detail = format!("{to} answered with status {}", response.status);
            Error::new(ErrorKind::UnknownOutcome, detail)
        }))
    }

    /// Builds the request of a poll of `to`.
    fn build_request(&self, to: SocketAddr, now: Instant) -> SyncRequest {
        let report = self.report.borrow();
        let mut deliveries = self.deliveries.borrow_mut();
        if deliveries.len() >= MAX_TRACKED_UPSTREAMS && !deliveries.contains_key(&to) {
            deliveries.clear();
        }
        let tracker = deliveries.entry(to).or_default();
        let version = self.view.version();
        let interval = self.timings.digest_interval;
        let own = tracker.build_update(&report, version, Duration::ZERO, now, interval);
        let mut reports = vec![own];
        for member in self.members.iter().flat_map(Membership::direct_members) {
            if member.report.process == report.process {
                continue;
            }
            let since_contact = now.saturating_duration_since(member.last_contact);
            let version = member.confirmed_version;
            reports.push(tracker.build_update(
                &member.report,
                version,
                since_contact,
                now,
                interval,
            ));
        }
        let owners = self.view.owners();
        SyncRequest {
            role: report.role,
            data_centre: report.data_centre.clone(),
            held_version: version,
            held_owners: owners
                .iter()
                .map(|(duty, row)| (duty.clone(), row.version))
                .collect(),
            reports,
        }
    }

    /// Applies an answer to a poll that was sent at `sent`. Returns the age of the upstream's view, or `None`
    /// when that view was never confirmed or has an older version than the view of this process.
    ///
    /// # Errors
    /// `internal` when the answer does not lead to the version that it names; the error of [`apply`] when a
    /// change cannot be applied.
    pub fn accept(&self, answer: SyncAnswer, sent: Instant) -> Result<Option<Duration>> {
        let steps = self.steps(&answer)?;
        if self.view.advance(&steps) {
            debug!("configuration updated to version {}", self.view.version());
        }
        let age = answer.age_ms.map(Duration::from_millis);
        let confirmed = age.and_then(|age| sent.checked_sub(age));
        let newer = confirmed.is_some_and(|confirmed| {
            self.view
                .confirmed_at()
                .is_none_or(|current| current < confirmed)
        });
        let rows = answer.owners.into_iter().map(|row| {
            let value = OwnerValue {
                version: row.version,
                value: row.value.into(),
            };
            (row.duty, value)
        });
        let removed = if newer { &*answer.removed_owners } else { &[] };
        self.view.update_owners(rows, removed);
        if let Some(confirmed) = confirmed {
            self.view.confirm(answer.version, confirmed);
        }
        if self.report.borrow().role == Role::Agent && age.is_some() {
            *self.relays.borrow_mut() = answer.relays;
        }
        Ok(age.filter(|_| answer.version >= self.view.version()))
    }

    /// Returns the versions of `answer` that are newer than the view.
    fn steps(&self, answer: &SyncAnswer) -> Result<Vec<VersionStep>> {
        let mut steps = Vec::new();
        let mut current = self.view.configuration();
        if let Some(snapshot) = &answer.snapshot
            && snapshot.version > current.version
        {
            current = Rc::new((**snapshot).clone());
            steps.push(VersionStep {
                configuration: Rc::clone(&current),
                change: None,
            });
        }
        for change in &answer.changes {
            // Some of the changes may have arrived in another answer since the poll was sent.
            if change.version > current.version {
                current = Rc::new(apply(&current, change)?);
                steps.push(VersionStep {
                    configuration: Rc::clone(&current),
                    change: Some(Rc::new(change.clone())),
                });
            }
        }
        if current.version < answer.version {
            let detail = format!(
                "the answer leads to version {} instead of {}",
                current.version, answer.version
            );
            return Err(Error::new(ErrorKind::Internal, detail));
        }
        Ok(steps)
    }
}
