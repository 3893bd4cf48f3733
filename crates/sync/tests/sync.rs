//! Tests of distribution over loopback: relays, lost upstreams, snapshots and reports.

mod common;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use common::Cuts;
use common::FaultyTable;
use common::LIMIT;
use common::Node;
use common::block_on;
use common::example;
use common::example_with_weight;
use common::report;
use common::start;
use common::timings;
use common::until;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::secret::Secret;
use nutmegwalk_net::Client;
use nutmegwalk_store::MemoryStore;
use nutmegwalk_store::TableStore;
use nutmegwalk_store::Transaction;
use nutmegwalk_sync::Publisher;
use nutmegwalk_sync::ReportUpdate;
use nutmegwalk_sync::Role;
use nutmegwalk_sync::SyncAnswer;
use nutmegwalk_sync::SyncTimings;
use nutmegwalk_sync::ViewReader;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() { block_on(async $body) })* };
}

struct Deployment {
    table: Rc<FaultyTable>,
    objects: Rc<MemoryStore>,
    publisher: Publisher,
    cuts: Arc<Cuts>,
    timings: SyncTimings,
}

impl Deployment {
    async fn new(timings: SyncTimings) -> Self {
        let table: Rc<FaultyTable> = Rc::default();
        let objects: Rc<MemoryStore> = Rc::default();
        let as_store: Rc<dyn TableStore> = table.clone();
        let publisher = Publisher::new(as_store, objects.clone());
        publisher.publish("anna", &example(), None).await.unwrap();
        Self {
            table,
            objects,
            publisher,
            cuts: Arc::default(),
            timings,
        }
    }

    async fn entry(&self, name: &str) -> Node {
        let node = start(name, Role::Entry, Vec::new(), self.timings, &self.cuts).await;
        let reader = Rc::new(self.reader(&node));
        reader.read_once().await.unwrap();
        let drain = node.drain.clone();
        compio::runtime::spawn(async move { reader.run(drain).await }).detach();
        node
    }

    /// Starts an entry host that reads the table only when the test says so.
    async fn silent_entry(&self, name: &str) -> Node {
        start(name, Role::Entry, Vec::new(), self.timings, &self.cuts).await
    }

    fn reader(&self, node: &Node) -> ViewReader {
        let table: Rc<dyn TableStore> = self.table.clone();
        ViewReader::new(table, self.objects.clone(), node.view.clone(), self.timings)
    }

    async fn agents(&self, count: usize, entries: &[&Node]) -> Vec<Node> {
        let entries: Vec<_> = entries.iter().map(|entry| entry.address).collect();
        let mut agents = Vec::new();
        for number in 0..count {
            let name = format!("agent-{number}");
            let agent = start(
                &name,
                Role::Agent,
                entries.clone(),
                self.timings,
                &self.cuts,
            )
            .await;
            agent.run_client();
            agents.push(agent);
        }
        agents
    }

    async fn publish(&self, weight: u32) -> u64 {
        let wanted = example_with_weight(weight);
        self.publisher
            .publish("anna", &wanted, None)
            .await
            .unwrap()
            .version
    }

    fn cut(&self, node: &Node) {
        self.cuts.cut.lock().unwrap().push(node.address);
    }

    fn heal(&self) {
        self.cuts.cut.lock().unwrap().clear();
    }
}

fn all_have(agents: &[Node], version: u64) -> bool {
    agents
        .iter()
        .all(|agent| agent.view.version() == version && agent.view.age().is_some())
}

cases! {
    // Guards against agents that never learn of a version, and against a publish that is thought to be in
    // force before it is.
    fifty_agents_get_a_version_in_force => {
        let deployment = Deployment::new(timings()).await;
        let entry = deployment.entry("entry").await;
        let agents = deployment.agents(50, &[&entry]).await;
        until("all agents have version 1", || all_have(&agents, 1)).await;
        until("all report", || entry.membership.alive().len() == 50).await;
        until("version 1 is in force", || entry.membership.oldest_confirmed() == Some(1)).await;
        let version = deployment.publish(7).await;
        until("the version is in force", || entry.membership.oldest_confirmed() == Some(version)).await;
        assert!(entry.membership.not_confirmed(version).is_empty());
        assert!(all_have(&agents, version));
        // With 50 agents there are 7 relays, and the others poll them and not the entry host.
        until("relays are used", || {
            agents.iter().filter(|agent| agent.client.upstream() == Some(entry.address)).count() == 7
        }).await;
        // Relays that served while the agents started still know former members, so upstreams are counted.
        until("at most 7 relays are used", || {
            let used: BTreeSet<_> = agents.iter().filter_map(|agent| agent.client.upstream()).collect();
            used.len() <= 8
        }).await;
        let version = deployment.publisher.take_out("anna", "ventspils", false).await.unwrap().version;
        until("the take-out is in force", || entry.membership.oldest_confirmed() == Some(version)).await;
        for agent in &agents {
            assert_eq!(agent.view.start_permission("ventspils").unwrap_err().kind, ErrorKind::DataCentreOut);
        }
    }

    // Guards against agents that lose their view with their relay.
    lost_relay_is_replaced => {
        let deployment = Deployment::new(timings()).await;
        let entry = deployment.entry("entry").await;
        let agents = deployment.agents(20, &[&entry]).await;
        let through_relay = |agent: &Node| agent.client.upstream().is_some_and(|to| to != entry.address);
        until("relays are used", || agents.iter().filter(|agent| through_relay(agent)).count() == 16).await;
        let relay = agents.iter().find(|agent| !agent.membership.alive().is_empty()).unwrap();
        deployment.cut(relay);
        let orphans: Vec<_> = agents.iter().filter(|agent| agent.client.upstream() == Some(relay.address)).collect();
        assert!(!orphans.is_empty());
        until("the relay is given up", || orphans.iter().all(|agent| {
            agent.client.upstream().is_some_and(|to| to != relay.address)
        })).await;
        let version = deployment.publish(7).await;
        until("the version is in force", || all_have(&agents, version)).await;
        assert_eq!(entry.membership.alive().len(), 20);
    }

    // Guards against a failover that waits for the next round, or that goes back to the lost upstream.
    failover_takes_one_round => {
        let deployment = Deployment::new(timings()).await;
        let entries = [deployment.entry("one").await, deployment.entry("two").await, deployment.entry("three").await];
        let addresses = entries.iter().map(|entry| entry.address).collect();
        let agent = start("agent", Role::Agent, addresses, timings(), &deployment.cuts).await;
        let mut lost = BTreeSet::new();
        for _ in 0..3 {
            agent.client.poll_any().await.unwrap();
            let upstream = agent.client.upstream().unwrap();
            assert!(!lost.contains(&upstream));
            agent.client.poll_any().await.unwrap();
            assert_eq!(agent.client.upstream(), Some(upstream));
            lost.insert(upstream);
            deployment.cuts.cut.lock().unwrap().push(upstream);
        }
        assert!(agent.client.poll_any().await.is_err());
        deployment.heal();
        agent.client.poll_any().await.unwrap();
    }

    // Guards against regular polls that cross regions, and against an agent that is lost although an entry
    // host of another region answers.
    far_entry_hosts_are_the_last_resort => {
        let deployment = Deployment::new(timings()).await;
        let near = [deployment.entry("one").await, deployment.entry("two").await];
        let far = deployment.entry("far").await;
        for number in 0..8 {
            let addresses = near.iter().map(|entry| entry.address).collect();
            let agent = start(&format!("agent-{number}"), Role::Agent, addresses, timings(), &deployment.cuts).await;
            agent.client.set_remote_entries(vec![far.address]);
            agent.client.poll_any().await.unwrap();
            assert_ne!(agent.client.upstream(), Some(far.address));
            for entry in &near {
                deployment.cuts.cut.lock().unwrap().push(entry.address);
            }
            agent.client.poll_any().await.unwrap();
            assert_eq!(agent.client.upstream(), Some(far.address));
            deployment.heal();
        }
    }

    // Guards against a cut-off relay whose agents go on trusting it.
    cut_off_upstream_ages_and_permission_lapses => {
        let timings = SyncTimings { permission_age: Duration::from_secs(1), ..timings() };
        let deployment = Deployment::new(timings).await;
        let entry = deployment.entry("entry").await;
        let relay = start("relay", Role::Agent, vec![entry.address], timings, &deployment.cuts).await;
        relay.run_client();
        let agent = start("agent", Role::Agent, vec![relay.address], timings, &deployment.cuts).await;
        agent.run_client();
        until("the agent may start", || agent.view.start_permission("ventspils").is_ok()).await;
        deployment.cut(&entry);
        let polls = agent.client.counters().polls;
        until("the permission lapses", || {
            agent.view.start_permission("ventspils").is_err_and(|error| error.kind == ErrorKind::StaleView)
        }).await;
        // The relay still answers, so it is the age and not silence that takes the permission away.
        until("the relay answers", || agent.client.counters().polls > polls + 2).await;
        assert!(agent.view.start_permission("ventspils").is_err());
        assert!(agent.view.confirmed_at() <= relay.view.confirmed_at());
        deployment.heal();
        until("the agent may start again", || agent.view.start_permission("ventspils").is_ok()).await;
    }

    // Guards against every agent polling every upstream while none of them has a recent view.
    outage_does_not_multiply_polls => {
        let timings = SyncTimings { upstream_age: Duration::ZERO, ..timings() };
        let deployment = Deployment::new(timings).await;
        let mut entries = Vec::new();
        for number in 0..6 {
            entries.push(deployment.silent_entry(&format!("entry-{number}")).await);
        }
        let addresses = entries.iter().map(|entry| entry.address).collect();
        let agent = start("agent", Role::Agent, addresses, timings, &deployment.cuts).await;
        agent.client.poll_any().await.unwrap();
        assert_eq!(agent.client.counters().polls, 2);
        for entry in &entries {
            deployment.cut(entry);
        }
        assert!(agent.client.poll_any().await.is_err());
        assert_eq!(agent.client.counters().failures, 5);
    }

    // Guards against an agent that stays with an upstream whose view is old although another is fresh.
    upstream_with_an_old_view_is_left => {
        let timings = SyncTimings { upstream_age: Duration::from_millis(500), ..timings() };
        let deployment = Deployment::new(timings).await;
        let (stale, fresh) = (deployment.silent_entry("stale").await, deployment.entry("fresh").await);
        deployment.reader(&stale).read_once().await.unwrap();
        let agents = deployment.agents(8, &[&stale, &fresh]).await;
        until("all use the fresh entry host", || {
            agents.iter().all(|agent| agent.client.upstream() == Some(fresh.address))
        }).await;
        let version = deployment.publish(7).await;
        until("the version is in force", || all_have(&agents, version)).await;
        assert_eq!(stale.view.version(), 1);
    }

    // Guards against a process that goes back to, or draws confirmation from, an older version.
    stale_upstream_is_not_believed => {
        let deployment = Deployment::new(timings()).await;
        let (stale, fresh) = (deployment.silent_entry("stale").await, deployment.silent_entry("fresh").await);
        deployment.reader(&stale).read_once().await.unwrap();
        deployment.publisher.take_out("anna", "ventspils", false).await.unwrap();
        deployment.reader(&fresh).read_once().await.unwrap();
        let agent = start("agent", Role::Agent, Vec::new(), timings(), &deployment.cuts).await;
        assert!(agent.client.poll(fresh.address).await.unwrap().is_some());
        let confirmed = agent.view.confirmed_at();
        assert_eq!(agent.client.poll(stale.address).await.unwrap(), None);
        assert_eq!((agent.view.version(), agent.view.confirmed_at()), (2, confirmed));
        assert_eq!(agent.view.start_permission("ventspils").unwrap_err().kind, ErrorKind::DataCentreOut);
        // An upstream that was just started knows nothing and takes nothing away.
        let empty = deployment.silent_entry("empty").await;
        assert_eq!(agent.client.poll(empty.address).await.unwrap(), None);
        assert_eq!((agent.view.version(), agent.view.confirmed_at()), (2, confirmed));
        // A restarted agent that reaches only that one may start nothing.
        let restarted = start("agent", Role::Agent, vec![empty.address], timings(), &deployment.cuts).await;
        let _ = restarted.client.poll_any().await;
        assert_eq!(restarted.view.start_permission("valmiera").unwrap_err().kind, ErrorKind::StaleView);
    }

    // Guards against an age that leaves out the time on the way, or that of a slow answer.
    age_counts_from_before_the_question => {
        let deployment = Deployment::new(timings()).await;
        let entry = deployment.silent_entry("entry").await;
        deployment.reader(&entry).read_once().await.unwrap();
        let agent = start("agent", Role::Agent, Vec::new(), timings(), &deployment.cuts).await;
        compio::time::sleep(Duration::from_millis(20)).await;
        agent.client.poll(entry.address).await.unwrap();
        assert!(agent.view.confirmed_at().unwrap() <= entry.view.confirmed_at().unwrap());
        let old = SyncAnswer {
            version: 1, age_ms: Some(u64::MAX), changes: Vec::new(), snapshot: None, owners: Vec::new(),
            removed_owners: Vec::new(), relays: Vec::new(), wanted: Vec::new(),
        };
        let confirmed = agent.view.confirmed_at();
        agent.client.accept(old, Instant::now()).unwrap();
        assert_eq!(agent.view.confirmed_at(), confirmed);
    }

    // Guards against whole documents being sent where a delta will do, and against a gap that no delta closes.
    deltas_and_snapshots => {
        let deployment = Deployment::new(timings()).await;
        let entry = deployment.silent_entry("entry").await;
        let reader = deployment.reader(&entry);
        reader.read_once().await.unwrap();
        let agent = start("agent", Role::Agent, Vec::new(), timings(), &deployment.cuts).await;
        agent.client.poll(entry.address).await.unwrap();
        let whole = agent.client.counters().received_bytes;
        agent.client.poll(entry.address).await.unwrap();
        let idle = agent.client.counters().received_bytes - whole;
        deployment.publish(7).await;
        reader.read_once().await.unwrap();
        let before = agent.client.counters().received_bytes;
        agent.client.poll(entry.address).await.unwrap();
        let delta = agent.client.counters().received_bytes - before;
        assert_eq!(agent.view.version(), 2);
        assert!(idle < 100 && delta < whole / 3, "{idle} {delta} {whole}");
        let late = start("late", Role::Agent, Vec::new(), timings(), &deployment.cuts).await;
        late.client.poll(entry.address).await.unwrap();
        for weight in 100..260 {
            deployment.publish(weight).await;
        }
        reader.read_once().await.unwrap();
        assert_eq!(entry.view.changes_after(2), None);
        late.client.poll(entry.address).await.unwrap();
        assert_eq!(late.view.configuration(), entry.view.configuration());
        assert_eq!(late.view.version(), 162);
    }

    // Guards against an answer that leads to another version than it says.
    contradicting_answers_are_refused => {
        let deployment = Deployment::new(timings()).await;
        let agent = start("agent", Role::Agent, Vec::new(), timings(), &deployment.cuts).await;
        let answer = SyncAnswer {
            version: 9, age_ms: Some(0), changes: Vec::new(), snapshot: None, owners: Vec::new(),
            removed_owners: Vec::new(), relays: Vec::new(), wanted: Vec::new(),
        };
        assert!(agent.client.accept(answer, Instant::now()).is_err());
        assert_eq!((agent.view.version(), agent.view.age()), (0, None));
    }

    // Guards against a store outage that goes unnoticed by agents.
    age_grows_everywhere_while_the_store_is_down => {
        let timings = SyncTimings { permission_age: Duration::from_secs(1), ..timings() };
        let deployment = Deployment::new(timings).await;
        let entry = deployment.entry("entry").await;
        let agents = deployment.agents(5, &[&entry]).await;
        until("all may start", || agents.iter().all(|agent| agent.view.start_permission("ventspils").is_ok())).await;
        deployment.table.down.set(true);
        until("none may start", || agents.iter().all(|agent| agent.view.start_permission("ventspils").is_err())).await;
        assert!(agents.iter().all(|agent| agent.view.version() == 1));
        deployment.table.down.set(false);
        until("all may start", || agents.iter().all(|agent| agent.view.start_permission("ventspils").is_ok())).await;
    }

    // Guards against an entry host whose store is cut off and that does not ask the others.
    entry_hosts_help_each_other => {
        let deployment = Deployment::new(timings()).await;
        let reading = deployment.entry("reading").await;
        let blind = start("blind", Role::Entry, vec![reading.address], timings(), &deployment.cuts).await;
        let (client, drain) = (Rc::clone(&blind.client), blind.drain.clone());
        compio::runtime::spawn(async move { client.run_peers(drain).await }).detach();
        let agents = deployment.agents(3, &[&blind]).await;
        until("the agents have a view", || all_have(&agents, 1)).await;
        // The entry host that reads the table learns of agents that poll the other one.
        until("all are known", || reading.membership.alive().len() == 4).await;
        assert!(reading.membership.in_data_centre("ventspils", Role::Agent).iter().all(|member| !member.is_direct));
    }

    // Guards against reports that are lost on the way through a relay, or sent over and over.
    reports_pass_through_relays_once => {
        let slow = SyncTimings { digest_interval: LIMIT, ..timings() };
        let deployment = Deployment::new(slow).await;
        let entry = deployment.entry("entry").await;
        let relay = start("relay", Role::Agent, vec![entry.address], slow, &deployment.cuts).await;
        let agent = start("agent", Role::Agent, vec![relay.address], slow, &deployment.cuts).await;
        agent.client.set_payload(&[42; 10_000]);
        relay.client.poll_any().await.unwrap();
        agent.client.poll_any().await.unwrap();
        relay.client.poll_any().await.unwrap();
        let payload = || entry.membership.get("agent").map(|member| member.report.payload.as_bytes().to_vec());
        assert_eq!(payload(), Some(vec![42; 10_000]));
        let sent = (agent.client.counters().sent_bytes, relay.client.counters().sent_bytes);
        assert!(sent.0 > 10_000 && sent.1 > 10_000);
        for _ in 0..5 {
            agent.client.set_payload(&[42; 10_000]);
            agent.client.poll_any().await.unwrap();
            relay.client.poll_any().await.unwrap();
        }
        let resent = (agent.client.counters().sent_bytes - sent.0, relay.client.counters().sent_bytes - sent.1);
        assert!(resent.0 < 5_000 && resent.1 < 5_000, "{resent:?}");
        agent.client.set_payload(b"changed");
        agent.client.set_draining(true);
        agent.client.poll_any().await.unwrap();
        relay.client.poll_any().await.unwrap();
        assert_eq!(payload(), Some(b"changed".to_vec()));
        assert!(entry.membership.get("agent").unwrap().report.draining);
    }

    // Guards against a receiver that keeps a wrong or missing report for ever.
    digest_repairs_a_gap => {
        let deployment = Deployment::new(timings()).await;
        let entry = deployment.entry("entry").await;
        let agent = start("agent", Role::Agent, vec![entry.address], timings(), &deployment.cuts).await;
        agent.client.set_payload(b"right");
        agent.client.poll_any().await.unwrap();
        let mut damaged = (*entry.membership.get("agent").unwrap().report).clone();
        damaged.payload = nutmegwalk_sync::Payload::new(b"wrong");
        let update = ReportUpdate {
            process: "agent".into(), incarnation: damaged.incarnation, revision: damaged.revision,
            confirmed_version: 1, silent_ms: 0, digest: None, report: Some(damaged),
        };
        entry.membership.record(&update, true, Instant::now());
        let payload = || entry.membership.get("agent").unwrap().report.payload.as_bytes().to_vec();
        assert_eq!(payload(), b"wrong");
        agent.run_client();
        until("the report is repaired", || payload() == b"right").await;
    }

    // Guards against an upstream that forgot a process, as after a restart, and never gets its report again.
    forgotten_report_is_asked_for => {
        let deployment = Deployment::new(timings()).await;
        let entry = deployment.silent_entry("entry").await;
        let agent = start("agent", Role::Agent, vec![entry.address], timings(), &deployment.cuts).await;
        agent.client.poll(entry.address).await.unwrap();
        assert!(entry.membership.get("agent").is_some());
        // Steps shorter than half of the limit count as silence and not as a pause of this process.
        let mut later = Instant::now();
        while entry.membership.get("agent").is_some() {
            later += LIMIT / 4;
            entry.membership.tick(later);
        }
        agent.client.poll(entry.address).await.unwrap();
        assert!(entry.membership.get("agent").is_none());
        deployment.cut(&entry);
        assert!(agent.client.poll(entry.address).await.is_err());
        deployment.heal();
        agent.client.poll(entry.address).await.unwrap();
        assert!(entry.membership.get("agent").is_some());
    }

    // Guards against owner rows that reach entry hosts only, and rows that outlive their deletion.
    owner_rows_reach_agents => {
        let deployment = Deployment::new(timings()).await;
        let entry = deployment.silent_entry("entry").await;
        let reader = deployment.reader(&entry);
        let agent = start("agent", Role::Agent, Vec::new(), timings(), &deployment.cuts).await;
        let put = |value: &str| deployment.table.store.apply(&Transaction::new().with_put("owner/ventspils", value));
        for value in ["{\"epoch\":1}", "{\"epoch\":2}"] {
            put(value);
            reader.read_once().await.unwrap();
            agent.client.poll(entry.address).await.unwrap();
            assert_eq!(agent.view.owners(), entry.view.owners());
            assert_eq!(&*agent.view.owners()["ventspils"].value, value);
        }
        deployment.table.store.apply(&Transaction::new().with_delete("owner/ventspils"));
        // A removal is only believed from a newer view, and the time on the way makes a view look older.
        let started = Instant::now();
        while !agent.view.owners().is_empty() {
            assert!(started.elapsed() < LIMIT, "the row outlives its deletion");
            compio::time::sleep(Duration::from_millis(5)).await;
            reader.read_once().await.unwrap();
            agent.client.poll(entry.address).await.unwrap();
        }
    }

    // Guards against a stranger reading the configuration or reporting as a member.
    secret_is_needed => {
        let deployment = Deployment::new(timings()).await;
        let entry = deployment.entry("entry").await;
        let stranger = nutmegwalk_sync::SyncClient::new(
            Client::new("stranger", Secret::new("wrong")).unwrap(),
            nutmegwalk_sync::View::new(timings()),
            report("stranger", Role::Agent, Some("ventspils"), entry.address),
            vec![entry.address],
            timings(),
        );
        assert_eq!(stranger.poll_any().await.unwrap_err().kind, ErrorKind::Unauthenticated);
        assert!(entry.membership.alive().is_empty());
    }
}
