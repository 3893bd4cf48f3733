//! Fake agents that send reports in the real format to an owner, from a separate thread.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread::JoinHandle;
use std::time::Duration;

use crate::bench::WORKER;
use crate::probe::SECRET;
use nutmegwalk_base::JobId;
use nutmegwalk_base::new_incarnation;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_gang::Attempt;
use nutmegwalk_gang::AttemptPhase;
use nutmegwalk_gang::AttemptReport;
use nutmegwalk_gang::GangReport;
use nutmegwalk_gang::MemberReport;
use nutmegwalk_gang::TaskState;
use nutmegwalk_gang::digest;
use nutmegwalk_net::Client;
use nutmegwalk_node::owner::messages::AgentReport;

/// Interval between two reports of one agent.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Part of a gang that a fake agent reports as running on its worker.
#[derive(Clone, Debug)]
pub(crate) struct FakePart {
    pub(crate) job: JobId,
    pub(crate) attempt: Attempt,
    pub(crate) first_member: u32,
    pub(crate) members: u32,
}

/// Running fake agents; dropping the handle ends them.
pub(crate) struct Reporters {
    stopping: Arc<AtomicBool>,
    /// Number of reports that the owner accepted.
    pub(crate) accepted: Arc<AtomicU64>,
    thread: Option<JoinHandle<()>>,
}

/// Returns the name of a fake worker.
pub(crate) fn worker_name(number: usize) -> Box<str> {
    format!("w{number}").into()
}

impl Reporters {
    /// Starts one fake agent for each entry of `parts`, which lists the parts on its worker.
    pub(crate) fn start(owner: SocketAddr, data_centre: &str, parts: Vec<Vec<FakePart>>) -> Self {
        let stopping = Arc::new(AtomicBool::new(false));
        let accepted = Arc::new(AtomicU64::new(0));
        let (stop_flag, counter) = (Arc::clone(&stopping), Arc::clone(&accepted));
        let data_centre: Box<str> = data_centre.into();
        let builder = std::thread::Builder::new().name("reporters".into());
        let thread = builder.spawn(move || {
            let Ok(runtime) = compio::runtime::Runtime::new() else {
                return;
            };
            runtime.block_on(async {
                let delay = REPORT_INTERVAL / u32::try_from(parts.len().max(1)).unwrap_or(1);
                for (number, parts) in parts.into_iter().enumerate() {
                    let report = report(number, &data_centre, owner, &parts);
                    let counter = Arc::clone(&counter);
                    compio::runtime::spawn(send(owner, report, counter)).detach();
                    compio::time::sleep(delay).await;
                }
                while !stop_flag.load(Ordering::Relaxed) {
                    compio::time::sleep(Duration::from_millis(50)).await;
                }
            });
        });
        Self {
            stopping,
            accepted,
            thread: thread.ok(),
        }
    }
}

impl Drop for Reporters {
    fn drop(&mut self) {
        self.stopping.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

async fn send(owner: SocketAddr, report: AgentReport, accepted: Arc<AtomicU64>) {
    let Ok(client) = Client::new(report.process.clone(), Secret::new(SECRET)) else {
        return;
    };
    let started = std::time::Instant::now();
    for round in 1_u32.. {
        if client.send(owner, &report, REPORT_INTERVAL).await.is_ok() {
            accepted.fetch_add(1, Ordering::Relaxed);
        }
        compio::time::sleep_until(started + REPORT_INTERVAL * round).await;
    }
}

/// Returns the report of one fake agent.
pub(crate) fn report(
    number: usize,
    data_centre: &str,
    address: SocketAddr,
    parts: &[FakePart],
) -> AgentReport {
    let attempts: Vec<AttemptReport> = parts.iter().map(attempt).collect();
    AgentReport {
        process: format!("agent-w{number}").into(),
        incarnation: new_incarnation(),
        number: 0,
        last_answer: None,
        address,
        data_centre: data_centre.into(),
        rack: format!("r{}", number / 20).into(),
        shape: WORKER,
        draining: false,
        gangs: GangReport {
            worker: worker_name(number),
            agent: address,
            epoch_floor: Some(1_000),
            sequence: 1,
            recovered: true,
            digest: digest(&attempts),
            attempts,
        },
    }
}

fn attempt(part: &FakePart) -> AttemptReport {
    let member = |member| MemberReport {
        member,
        state: Some(TaskState::Running),
        progress_ms: 1000,
        checkpoint_ms: 0,
    };
    AttemptReport {
        job: part.job.clone(),
        attempt: part.attempt,
        phase: AttemptPhase::Running,
        lead: part.first_member == 0,
        end: None,
        members: (part.first_member..part.first_member + part.members)
            .map(member)
            .collect(),
    }
}
