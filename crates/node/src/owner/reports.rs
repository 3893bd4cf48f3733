//! Handling of agents' reports: state of workers, ends of gangs, and adoption of gangs by a new owner.

use std::time::Duration;
use std::time::Instant;

use log::info;

use crate::jobs::JobState;
use crate::owner::DataCentreOwner;
use crate::owner::messages::AgentReport;
use crate::owner::messages::AgentReportAnswer;
use crate::owner::not_owner;
use crate::owner::term::AttemptStatus;
use crate::owner::term::Phase;
use crate::owner::term::Term;
use crate::owner::term::WorkerEntry;
use crate::owner::term::evaluate_attempt;
use crate::owner::term::job_spec;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::JobId;
use nutmegwalk_base::Result;
use nutmegwalk_base::WorkerId;
use nutmegwalk_base::succession::Contact;
use nutmegwalk_base::succession::MessageOrder;
use nutmegwalk_fleet::StopReason;
use nutmegwalk_fleet::WorkerSpec;
use nutmegwalk_gang::Attempt;
use nutmegwalk_gang::AttemptPhase;
use nutmegwalk_gang::AttemptReport;
use nutmegwalk_gang::GangEnd;
use nutmegwalk_gang::GangSpec;
use nutmegwalk_gang::TaskState;

/// Actions that a report requires from the owner.
#[derive(Default)]
struct ReportActions {
    ended: Vec<(JobId, GangEnd)>,
    incomplete: Vec<JobId>,
    orphans: Vec<GangSpec>,
}

impl DataCentreOwner {
    /// Applies an agent's report to the term and acts on it.
    pub(crate) fn handle_report(&self, report: AgentReport) -> Result<AgentReportAnswer> {
        let held = self.inner.ownership.current().ok_or_else(not_owner)?;
        let lag = self.inner.timings.report_lag;
        let lease = self.inner.timings.gang.lease;
        let applied = self.with_term(held.epoch, |term| {
            let owner_clock_ms = as_ms(term.now());
            let order = order_of(term, &report);
            if order != MessageOrder::Latest {
                info!(
                    agent = &*report.process,
                    incarnation = report.incarnation,
                    number = report.number,
                    order:? = order;
                    "not applying a report"
                );
                let answer = AgentReportAnswer {
                    epoch: held.epoch,
                    acknowledged: 0,
                    owner_clock_ms,
                    is_unconfirmed: order == MessageOrder::Unconfirmed,
                };
                return (ReportActions::default(), answer);
            }
            let actions = required_actions(term, &report, lag, lease);
            let acknowledged = if term.loaded && all_ends_recorded(term, &report) {
                report.gangs.sequence
            } else {
                0
            };
            record_worker(term, report);
            let answer = AgentReportAnswer {
                epoch: held.epoch,
                acknowledged,
                owner_clock_ms,
                is_unconfirmed: false,
            };
            (actions, answer)
        });
        let (actions, answer) = applied.ok_or_else(not_owner)?;
        for (job, end) in actions.ended {
            self.handle_gang_end(held.epoch, &job, end);
        }
        for job in actions.incomplete {
            self.stop(held.epoch, &job, StopReason::WorkerFailed, Duration::ZERO);
        }
        for orphan in actions.orphans {
            info!(job = &*orphan.job; "stopping an orphaned attempt");
            let driver = self.inner.driver.clone();
            compio::runtime::spawn(async move {
                let gang = driver.adopt(orphan, held.epoch);
                driver.stop(gang).await;
            })
            .detach();
        }
        Ok(answer)
    }

    /// Resolves attempts of earlier terms from the reports received so far: adopts, ends or stops them.
    pub(crate) fn resolve_earlier_attempts(&self, epoch: Epoch) {
        let quiet_period = self.inner.timings.gang.quiet_period();
        let unresolved = self.with_term(epoch, |term| {
            let jobs = term
                .jobs
                .iter()
                .filter(|(_, entry)| matches!(entry.phase, Phase::Unresolved));
            jobs.map(|(id, _)| id.clone()).collect::<Vec<_>>()
        });
        for job in unresolved.unwrap_or_default() {
            let status = self.with_term(epoch, |term| {
                let is_quiet_period_over = term.started.elapsed() > quiet_period;
                let entry = term.jobs.get_mut(&job)?;
                let Some(run) = entry.stored.record.run.clone() else {
                    entry.enqueue();
                    return None;
                };
                let status = evaluate_attempt(
                    &term.workers,
                    &job,
                    run.attempt,
                    &run.placements,
                    epoch,
                    is_quiet_period_over,
                );
                Some(status)
            });
            match status.flatten() {
                None | Some(AttemptStatus::Incomplete) => {}
                Some(AttemptStatus::Running) => self.adopt(epoch, &job),
                Some(AttemptStatus::Ended(GangEnd::Finished)) => self.finish(epoch, &job),
                Some(AttemptStatus::Ended(_) | AttemptStatus::Broken) => {
                    self.stop_unresolved(epoch, &job)
                }
            }
        }
    }

    fn adopt(&self, epoch: Epoch, job: &JobId) {
        let is_cancelling = self.with_term(epoch, |term| {
            let record = term.jobs.get(job)?.stored.record.clone();
            let run = record.run.clone()?;
            let spec = term.gang_spec(&record, &run).ok()?;
            let now = term.now();
            term.fleet
                .add_running_job(job_spec(&record), run.placements, now);
            let gang = self.inner.driver.adopt(spec, epoch);
            if let Some(entry) = term.jobs.get_mut(job) {
                entry.phase = Phase::running(gang, self.inner.timings.checkpoint);
            }
            Some(record.state == JobState::Cancelling)
        });
        info!(job = &**job; "adopted a running gang");
        if let Some(Some(true)) = is_cancelling {
            self.with_term(epoch, |term| {
                let now = term.now();
                term.fleet.cancel(job, now);
            });
            self.stop(epoch, job, StopReason::Cancelled, Duration::ZERO);
        }
    }

    /// Stops all tasks of an earlier attempt, then puts the job back into the queue.
    fn stop_unresolved(&self, epoch: Epoch, job: &JobId) {
        let spec = self.with_term(epoch, |term| {
            let entry = term.jobs.get_mut(job)?;
            entry.phase = Phase::Ending;
            let record = entry.stored.record.clone();
            let run = record.run.clone()?;
            let mut reported = run.clone();
            reported
                .placements
                .retain(|placement| term.workers.contains_key(&placement.worker));
            term.gang_spec(&record, &reported).ok()
        });
        let Some(spec) = spec else {
            return;
        };
        let (owner, job) = (self.clone(), job.clone());
        compio::runtime::spawn(async move {
            let mut checkpoint_ms = None;
            if let Some(spec) = spec.filter(|spec| !spec.members.is_empty()) {
                let gang = owner.inner.driver.adopt(spec, epoch);
                let stopped = owner.inner.driver.stop(gang).await;
                checkpoint_ms = stopped.checkpoint_ms();
                if !stopped.is_stop_confirmed() {
                    compio::time::sleep(owner.inner.timings.gang.quiet_period()).await;
                }
                if owner.is_finished(epoch, &job, &stopped) {
                    owner.finish(epoch, &job);
                    return;
                }
            }
            owner
                .record_stopped(epoch, &job, StopReason::WorkerFailed, checkpoint_ms)
                .await;
        })
        .detach();
    }
}

impl Term {
    /// Returns a worker on which a task of the attempt failed, as opposed to being stopped.
    pub(crate) fn failed_worker(&self, job: &str, attempt: Attempt) -> Option<WorkerId> {
        let failed = |part: &&AttemptReport| {
            &*part.job == job
                && part.attempt == attempt
                && part
                    .members
                    .iter()
                    .any(|member| member.state == Some(TaskState::Failed))
        };
        let worker = self
            .workers
            .iter()
            .find(|(_, worker)| worker.gangs.attempts.iter().any(|part| failed(&part)));
        worker.map(|(id, _)| id.clone())
    }
}

/// Returns the place of a report among those of its agent. Reports of an agent of an earlier release are all applied.
fn order_of(term: &Term, report: &AgentReport) -> MessageOrder {
    let known = term.workers.get(&report.gangs.worker);
    report.last_answer.map_or(MessageOrder::Latest, |answer| {
        Contact::order(
            known.map(|known| &known.contact),
            report.incarnation,
            report.number,
            answer,
            term.epoch,
        )
    })
}

/// Updates the state of the worker from its agent's report.
fn record_worker(term: &mut Term, report: AgentReport) {
    let now = term.now();
    let id = report.gangs.worker.clone();
    let previous = term.workers.get(&id);
    let is_new = previous
        .is_none_or(|known| known.contact.incarnation != report.incarnation || !known.usable);
    let suspended_until = previous.and_then(|known| known.suspended_until);
    let suspended_until = suspended_until.filter(|until| *until > Instant::now());
    let unanswered = previous.map_or(0, |known| known.unanswered);
    let usable = !report.draining && suspended_until.is_none();
    if is_new {
        // A worker that accepts no tasks is added too, because gangs may be running on it.
        let spec = WorkerSpec {
            id: id.clone(),
            rack: report.rack.clone(),
            shape: report.shape.to_shape(),
        };
        term.fleet.upsert_worker(spec, now);
        term.fleet.set_worker_usable(&id, usable, now);
    }
    if !usable && previous.is_some_and(|known| known.usable) {
        term.fleet.set_worker_usable(&id, false, now);
    }
    let contact = Contact::after(
        previous.map(|known| &known.contact),
        report.incarnation,
        report.number,
        as_ms(now),
    );
    let entry = WorkerEntry {
        address: report.address,
        contact,
        last_report_at: Instant::now(),
        usable,
        accelerators: report.shape.accelerators,
        unanswered,
        suspended_until,
        gangs: report.gangs,
    };
    term.workers.insert(id, entry);
}

/// Compares a report with the term and returns the actions that it requires.
fn required_actions(
    term: &mut Term,
    report: &AgentReport,
    lag: Duration,
    lease: Duration,
) -> ReportActions {
    let mut actions = ReportActions::default();
    if !term.loaded {
        return actions;
    }
    for part in &report.gangs.attempts {
        let entry = term.jobs.get_mut(&part.job);
        let is_current = entry
            .as_ref()
            .is_some_and(|entry| entry.attempt() == Some(part.attempt));
        if !is_current {
            // An attempt is recorded before its first command, so an unrecorded one is obsolete.
            if matches!(part.phase, AttemptPhase::Running | AttemptPhase::Bound) {
                actions.orphans.push(orphan_spec(report, part));
            }
            continue;
        }
        let Some(Phase::Running { member_ended, .. }) = entry.map(|entry| &mut entry.phase) else {
            continue;
        };
        if part.phase != AttemptPhase::Ended {
            continue;
        }
        let is_conclusive = part.lead || part.end == Some(GangEnd::Finished);
        // The lead reports how the gang ended, unless it has restarted and lost that role. In that case a
        // member's report counts once the gang lease has passed.
        let first_seen = *member_ended.get_or_insert_with(Instant::now);
        if is_conclusive || first_seen.elapsed() > lease {
            let end = part.end.unwrap_or(GangEnd::Lost);
            actions.ended.push((part.job.clone(), end));
        }
    }
    for (id, entry) in &term.jobs {
        let Phase::Running { since, .. } = entry.phase else {
            continue;
        };
        let Some(run) = &entry.stored.record.run else {
            continue;
        };
        let is_member = run
            .placements
            .iter()
            .any(|placement| placement.worker == report.gangs.worker);
        let is_reported = report
            .gangs
            .attempts
            .iter()
            .any(|part| part.job == *id && part.attempt == run.attempt);
        if is_member && !is_reported && report.gangs.recovered && since.elapsed() > lag {
            actions.incomplete.push(id.clone());
        }
    }
    actions
}

/// Returns the spec of an orphaned attempt with only the members on one agent. Stopping these is enough to
/// stop the whole attempt.
fn orphan_spec(report: &AgentReport, part: &AttemptReport) -> GangSpec {
    let members = part
        .members
        .iter()
        .zip(0..)
        .map(|(_, member)| nutmegwalk_gang::GangMember {
            spec: nutmegwalk_gang::MemberSpec {
                member,
                cores: 0,
                memory_mb: 0,
                accelerators: 0,
            },
            agent: report.address,
            worker: report.gangs.worker.clone(),
        });
    GangSpec {
        job: part.job.clone(),
        attempt: part.attempt,
        customer: "".into(),
        borrowed: false,
        payload: "".into(),
        checkpoint_ms: 0,
        members: members.collect(),
    }
}

/// Returns whether the end of every ended attempt in a report is recorded.
fn all_ends_recorded(term: &Term, report: &AgentReport) -> bool {
    report
        .gangs
        .attempts
        .iter()
        .filter(|part| part.phase == AttemptPhase::Ended)
        .all(|part| {
            let entry = term.jobs.get(&part.job);
            entry.is_none_or(|entry| entry.attempt() != Some(part.attempt))
        })
}

/// Returns a duration in whole milliseconds.
fn as_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
