//! Agents' reports: what runs where, what has ended, and what a new owner adopts.

use std::time::Duration;
use std::time::Instant;

use log::info;

use crate::jobs::JobState;
use crate::owner::DataCentreOwner;
use crate::owner::messages::AgentReport;
use crate::owner::messages::AgentReportAnswer;
use crate::owner::not_owner;
use crate::owner::term::AttemptView;
use crate::owner::term::Phase;
use crate::owner::term::Term;
use crate::owner::term::WorkerEntry;
use crate::owner::term::job_spec;
use crate::owner::term::judge_attempt;
use nutmegwalk_base::Epoch;
use nutmegwalk_base::JobId;
use nutmegwalk_base::Result;
use nutmegwalk_base::WorkerId;
use nutmegwalk_fleet::StopReason;
use nutmegwalk_fleet::WorkerSpec;
use nutmegwalk_gang::Attempt;
use nutmegwalk_gang::AttemptPhase;
use nutmegwalk_gang::AttemptReport;
use nutmegwalk_gang::GangEnd;
use nutmegwalk_gang::GangSpec;
use nutmegwalk_gang::TaskState;

/// What a report asks the owner to do.
#[derive(Default)]
struct Followup {
    ended: Vec<(JobId, GangEnd)>,
    incomplete: Vec<JobId>,
    orphans: Vec<GangSpec>,
}

impl DataCentreOwner {
    /// Takes an agent's report.
    pub(crate) fn take_report(&self, report: AgentReport) -> Result<AgentReportAnswer> {
        let held = self.inner.ownership.current().ok_or_else(not_owner)?;
        let lag = self.inner.timings.report_lag;
        let lease = self.inner.timings.gang.lease;
        let taken = self.with_term(held.epoch, |term| {
            let followup = followup(term, &report, lag, lease);
            let acknowledged = if term.loaded && is_settled(term, &report) {
                report.gangs.sequence
            } else {
                0
            };
            record_worker(term, report);
            (followup, acknowledged)
        });
        let (followup, acknowledged) = taken.ok_or_else(not_owner)?;
        for (job, end) in followup.ended {
            self.gang_ended(held.epoch, &job, end);
        }
        for job in followup.incomplete {
            self.stop(held.epoch, &job, StopReason::WorkerFailed, Duration::ZERO);
        }
        for orphan in followup.orphans {
            info!(job = &*orphan.job; "stopping an attempt that is not the job's current one");
            let driver = self.inner.driver.clone();
            compio::runtime::spawn(async move {
                let gang = driver.adopt(orphan, held.epoch);
                driver.stop(gang).await;
            })
            .detach();
        }
        Ok(AgentReportAnswer {
            epoch: held.epoch,
            acknowledged,
        })
    }

    /// Decides on attempts of earlier terms from the reports so far.
    pub(crate) fn resolve(&self, epoch: Epoch) {
        let quiet = self.inner.timings.gang.quiet();
        let unresolved = self.with_term(epoch, |term| {
            let jobs = term
                .jobs
                .iter()
                .filter(|(_, entry)| matches!(entry.phase, Phase::Unresolved));
            jobs.map(|(id, _)| id.clone()).collect::<Vec<_>>()
        });
        for job in unresolved.unwrap_or_default() {
            let view = self.with_term(epoch, |term| {
                let silence_is_final = term.started.elapsed() > quiet;
                let entry = term.jobs.get_mut(&job)?;
                let Some(run) = entry.stored.record.run.clone() else {
                    entry.enqueue();
                    return None;
                };
                let view = judge_attempt(
                    &term.workers,
                    &job,
                    run.attempt,
                    &run.placements,
                    epoch,
                    silence_is_final,
                );
                Some(view)
            });
            match view.flatten() {
                None | Some(AttemptView::Incomplete) => {}
                Some(AttemptView::Running) => self.adopt(epoch, &job),
                Some(AttemptView::Ended(GangEnd::Finished)) => self.finish(epoch, &job),
                Some(AttemptView::Ended(_) | AttemptView::Broken) => {
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
            term.fleet.adopt(job_spec(&record), run.placements, now);
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

    /// Makes sure that nothing of an earlier attempt runs, then puts the job back into the queue.
    fn stop_unresolved(&self, epoch: Epoch, job: &JobId) {
        let spec = self.with_term(epoch, |term| {
            let entry = term.jobs.get_mut(job)?;
            entry.phase = Phase::Ending;
            let record = entry.stored.record.clone();
            let run = record.run.clone()?;
            let mut known = run.clone();
            known
                .placements
                .retain(|placement| term.workers.contains_key(&placement.worker));
            term.gang_spec(&record, &known).ok()
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
                if !stopped.is_settled() {
                    compio::time::sleep(owner.inner.timings.gang.quiet()).await;
                }
                if owner.is_finished(epoch, &job, &stopped) {
                    owner.finish(epoch, &job);
                    return;
                }
            }
            owner
                .settle_stopped(epoch, &job, StopReason::WorkerFailed, checkpoint_ms)
                .await;
        })
        .detach();
    }
}

impl Term {
    /// Returns a worker on which a task of the attempt failed by itself.
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

/// Takes over what a report says about its worker.
fn record_worker(term: &mut Term, report: AgentReport) {
    let now = term.now();
    let id = report.gangs.worker.clone();
    let previous = term.workers.get(&id);
    let is_new =
        previous.is_none_or(|known| known.incarnation != report.incarnation || !known.usable);
    let avoid_until = previous.and_then(|known| known.avoid_until);
    let avoid_until = avoid_until.filter(|until| *until > Instant::now());
    let unanswered = previous.map_or(0, |known| known.unanswered);
    let usable = !report.draining && avoid_until.is_none();
    if is_new {
        // The planner has to know also a worker that takes no tasks, for the gangs that run there.
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
    let entry = WorkerEntry {
        address: report.address,
        incarnation: report.incarnation,
        last_report_at: Instant::now(),
        usable,
        accelerators: report.shape.accelerators,
        unanswered,
        avoid_until,
        gangs: report.gangs,
    };
    term.workers.insert(id, entry);
}

fn followup(term: &mut Term, report: &AgentReport, lag: Duration, lease: Duration) -> Followup {
    let mut followup = Followup::default();
    if !term.loaded {
        return followup;
    }
    for part in &report.gangs.attempts {
        let entry = term.jobs.get_mut(&part.job);
        let is_current = entry
            .as_ref()
            .is_some_and(|entry| entry.attempt() == Some(part.attempt));
        if !is_current {
            // An attempt is recorded before its first command, so one that is not recorded is over.
            if matches!(part.phase, AttemptPhase::Running | AttemptPhase::Bound) {
                followup.orphans.push(orphan(report, part));
            }
            continue;
        }
        let Some(Phase::Running { member_ended, .. }) = entry.map(|entry| &mut entry.phase) else {
            continue;
        };
        if part.phase != AttemptPhase::Ended {
            continue;
        }
        let is_verdict = part.lead || part.end == Some(GangEnd::Finished);
        // The lead tells how the gang ended, unless it has restarted and does not lead any more.
        let first_seen = *member_ended.get_or_insert_with(Instant::now);
        if is_verdict || first_seen.elapsed() > lease {
            let end = part.end.unwrap_or(GangEnd::Lost);
            followup.ended.push((part.job.clone(), end));
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
            followup.incomplete.push(id.clone());
        }
    }
    followup
}

/// Builds a gang of the members on one agent, which is enough to stop the whole attempt.
fn orphan(report: &AgentReport, part: &AttemptReport) -> GangSpec {
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

/// Returns whether the ends of all ended attempts in a report are recorded.
fn is_settled(term: &Term, report: &AgentReport) -> bool {
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
