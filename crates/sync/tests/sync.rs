//! Tests of synchronization over loopback: relays, failed upstreams, snapshots and reports.

mod common;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use common::FaultyTable;
use common::LIMIT;
use common::Node;
use common::Partitions;
use common::block_on;
use common::example;
use common::example_with_weight;
use common::report;
use common::start;
use common::timings;
use common::wait_until;

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
    partitions: Arc<Partitions>,
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
            partitions: Arc::default(),
            timings,
        }
    }

    /// Starts an entry host that has read the table once and keeps reading it.
    async fn entry(&self, name: &str) -> Node {
        let node = start(
            name,
            Role::Entry,
            Vec::new(),
            self.timings,
            &self.partitions,
        )
        .await;
        let reader = Rc::new(self.reader(&node));
        reader.read_once().await.unwrap();
        let drain = node.drain.clone();
        compio::runtime::spawn(async move { reader.run(drain).await }).detach();
        node
    }

    /// Starts an entry host that does not read the table by itself; a test reads with [`Deployment::reader`].
    async fn entry_without_reader(&self, name: &str) -> Node {
        start(
            name,
            Role::Entry,
            Vec::new(),
            self.timings,
            &self.partitions,
        )
        .await
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
                &self.partitions,
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

    /// Disconnects all links to `node`.
    fn partition(&self, node: &Node) {
        self.partitions.addresses.lock().unwrap().push(node.address);
    }

    /// Reconnects all nodes.
    fn heal(&self) {
        self.partitions.addresses.lock().unwrap().clear();
    }
}

fn all_have(agents: &[Node], version: u64) -> bool {
    agents
        .iter()
        .all(|agent| agent.view.version() == version && agent.view.age().is_some())
}

cases! {
    // Guards against agents that never receive a version, and against a version reported as in force before
    // all agents have it.
    version_is_in_force_on_fifty_agents => {
        let deployment = Deployment::new(timings()).await;
        let entry = deployment.entry("entry").await;
        let agents = deployment.agents(50, &[&entry]).await;
        wait_until("all agents have version 1", || all_have(&agents, 1)).await;
        wait_until("all report", || entry.membership.alive().len() == 50).await;
        wait_until("version 1 is in force", || entry.membership.oldest_confirmed() == Some(1)).await;
        let version = deployment.publish(7).await;
        wait_until("the version is in force", || entry.membership.oldest_confirmed() == Some(version)).await;
        assert!(entry.membership.not_confirmed(version).is_empty());
        assert!(all_have(&agents, version));
        // With 50 agents there are 7 relays, and the other agents poll them instead of the entry host.
        wait_until("relays are used", || {
            agents.iter().filter(|agent| agent.client.upstream() == Some(entry.address)).count() == 7
        }).await;
        // Agents that were relays during the start still have former members, so the upstreams in use are
        // counted instead of the agents with members.
        wait_until("at most 7 relays are used", || {
            let used: BTreeSet<_> = agents.iter().filter_map(|agent| agent.client.upstream()).collect();
            used.len() <= 8
        }).await;
        let version = deployment.publisher.take_out("anna", "ventspils", false).await.unwrap().version;
        wait_until("the take-out is in force", || entry.membership.oldest_confirmed() == Some(version)).await;
        for agent in &agents {
            assert_eq!(agent.view.check_start_permission("ventspils").unwrap_err().kind, ErrorKind::DataCentreOut);
        }
    }

    // Guards against agents that get no view after the loss of their relay.
    lost_relay_is_replaced => {
        let deployment = Deployment::new(timings()).await;
        let entry = deployment.entry("entry").await;
        let agents = deployment.agents(20, &[&entry]).await;
        let uses_relay = |agent: &Node| agent.client.upstream().is_some_and(|to| to != entry.address);
        wait_until("relays are used", || agents.iter().filter(|agent| uses_relay(agent)).count() == 16).await;
        let relay = agents.iter().find(|agent| !agent.membership.alive().is_empty()).unwrap();
        deployment.partition(relay);
        let orphans: Vec<_> = agents.iter().filter(|agent| agent.client.upstream() == Some(relay.address)).collect();
        assert!(!orphans.is_empty());
        wait_until("the relay is replaced", || orphans.iter().all(|agent| {
            agent.client.upstream().is_some_and(|to| to != relay.address)
        })).await;
        let version = deployment.publish(7).await;
        wait_until("the version is in force", || all_have(&agents, version)).await;
        assert_eq!(entry.membership.alive().len(), 20);
    }

    // Guards against a failover that waits for the next round, or that returns to the failed upstream.
    failover_takes_one_round => {
        let deployment = Deployment::new(timings()).await;
        let entries = [deployment.entry("one").await, deployment.entry("two").await, deployment.entry("three").await];
        let addresses = entries.iter().map(|entry| entry.address).collect();
        let agent = start("agent", Role::Agent, addresses, timings(), &deployment.partitions).await;
        let mut lost = BTreeSet::new();
        for _ in 0..3 {
            agent.client.poll_any().await.unwrap();
            let upstream = agent.client.upstream().unwrap();
            assert!(!lost.contains(&upstream));
            agent.client.poll_any().await.unwrap();
            assert_eq!(agent.client.upstream(), Some(upstream));
            lost.insert(upstream);
            deployment.partitions.addresses.lock().unwrap().push(upstream);
        }
        assert!(agent.client.poll_any().await.is_err());
        deployment.heal();
        agent.client.poll_any().await.unwrap();
    }

    // Guards against regular polls that cross regions, and against an agent without an upstream although an
    // entry host of another region answers.
    remote_entry_hosts_are_polled_last => {
        let deployment = Deployment::new(timings()).await;
        let local = [deployment.entry("one").await, deployment.entry("two").await];
        let remote = deployment.entry("remote").await;
        for number in 0..8 {
            let addresses = local.iter().map(|entry| entry.address).collect();
            let agent = start(
                &format!("agent-{number}"), Role::Agent, addresses, timings(), &deployment.partitions,
            ).await;
            agent.client.set_remote_entries(vec![remote.address]);
            agent.client.poll_any().await.unwrap();
            assert_ne!(agent.client.upstream(), Some(remote.address));
            for entry in &local {
                deployment.partitions.addresses.lock().unwrap().push(entry.address);
            }
            agent.client.poll_any().await.unwrap();
            assert_eq!(agent.client.upstream(), Some(remote.address));
            deployment.heal();
        }
    }

    // Guards against agents that keep their start permission while their relay is disconnected from the entry
    // host.
    permission_lapses_behind_a_disconnected_relay => {
        let timings = SyncTimings { max_permission_age: Duration::from_secs(1), ..timings() };
        let deployment = Deployment::new(timings).await;
        let entry = deployment.entry("entry").await;
        let relay = start("relay", Role::Agent, vec![entry.address], timings, &deployment.partitions).await;
        relay.run_client();
        let agent = start("agent", Role::Agent, vec![relay.address], timings, &deployment.partitions).await;
        agent.run_client();
        wait_until("the agent may start", || agent.view.check_start_permission("ventspils").is_ok()).await;
        deployment.partition(&entry);
        let polls = agent.client.counters().polls;
        wait_until("the permission lapses", || {
            agent.view.check_start_permission("ventspils").is_err_and(|error| error.kind == ErrorKind::StaleView)
        }).await;
        // The relay still answers, so the permission lapsed because of the age of its view and not because the
        // agent received no answer.
        wait_until("the relay answers", || agent.client.counters().polls > polls + 2).await;
        assert!(agent.view.check_start_permission("ventspils").is_err());
        assert!(agent.view.confirmed_at() <= relay.view.confirmed_at());
        deployment.heal();
        wait_until("the agent may start again", || agent.view.check_start_permission("ventspils").is_ok()).await;
    }

    // Guards against agents that poll all upstreams in each round while none of them has a recent view.
    outage_does_not_multiply_polls => {
        let timings = SyncTimings { max_upstream_age: Duration::ZERO, ..timings() };
        let deployment = Deployment::new(timings).await;
        let mut entries = Vec::new();
        for number in 0..6 {
            entries.push(deployment.entry_without_reader(&format!("entry-{number}")).await);
        }
        let addresses = entries.iter().map(|entry| entry.address).collect();
        let agent = start("agent", Role::Agent, addresses, timings, &deployment.partitions).await;
        agent.client.poll_any().await.unwrap();
        assert_eq!(agent.client.counters().polls, 2);
        for entry in &entries {
            deployment.partition(entry);
        }
        assert!(agent.client.poll_any().await.is_err());
        assert_eq!(agent.client.counters().failures, 5);
    }

    // Guards against an agent that stays with an upstream whose view is old although that of another is recent.
    upstream_with_an_old_view_is_replaced => {
        let timings = SyncTimings { max_upstream_age: Duration::from_millis(500), ..timings() };
        let deployment = Deployment::new(timings).await;
        let (stale, fresh) = (deployment.entry_without_reader("stale").await, deployment.entry("fresh").await);
        deployment.reader(&stale).read_once().await.unwrap();
        let agents = deployment.agents(8, &[&stale, &fresh]).await;
        wait_until("all use the fresh entry host", || {
            agents.iter().all(|agent| agent.client.upstream() == Some(fresh.address))
        }).await;
        let version = deployment.publish(7).await;
        wait_until("the version is in force", || all_have(&agents, version)).await;
        assert_eq!(stale.view.version(), 1);
    }

    // Guards against a process that returns to an older version, or counts it as a confirmation.
    older_version_from_an_upstream_is_ignored => {
        let deployment = Deployment::new(timings()).await;
        let (stale, fresh) =
            (deployment.entry_without_reader("stale").await, deployment.entry_without_reader("fresh").await);
        deployment.reader(&stale).read_once().await.unwrap();
        deployment.publisher.take_out("anna", "ventspils", false).await.unwrap();
        deployment.reader(&fresh).read_once().await.unwrap();
        let agent = start("agent", Role::Agent, Vec::new(), timings(), &deployment.partitions).await;
        assert!(agent.client.poll(fresh.address).await.unwrap().is_some());
        let confirmed = agent.view.confirmed_at();
        assert_eq!(agent.client.poll(stale.address).await.unwrap(), None);
        assert_eq!((agent.view.version(), agent.view.confirmed_at()), (2, confirmed));
        assert_eq!(agent.view.check_start_permission("ventspils").unwrap_err().kind, ErrorKind::DataCentreOut);
        // An upstream that has just started has no configuration, and its answer does not change the view.
        let empty = deployment.entry_without_reader("empty").await;
        assert_eq!(agent.client.poll(empty.address).await.unwrap(), None);
        assert_eq!((agent.view.version(), agent.view.confirmed_at()), (2, confirmed));
        // A restarted agent that reaches only that upstream may start nothing.
        let restarted = start("agent", Role::Agent, vec![empty.address], timings(), &deployment.partitions).await;
        let _ = restarted.client.poll_any().await;
        assert_eq!(restarted.view.check_start_permission("valmiera").unwrap_err().kind, ErrorKind::StaleView);
    }

    // Guards against an age that leaves out the transit time of the poll or the time of a slow answer.
    age_counts_from_the_sending_of_the_poll => {
        let deployment = Deployment::new(timings()).await;
        let entry = deployment.entry_without_reader("entry").await;
        deployment.reader(&entry).read_once().await.unwrap();
        let agent = start("agent", Role::Agent, Vec::new(), timings(), &deployment.partitions).await;
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

    // Guards against sending the whole configuration where changes suffice, and against a receiver that stays
    // behind because the changes that it needs are no longer kept.
    changes_or_a_snapshot_are_sent => {
        let deployment = Deployment::new(timings()).await;
        let entry = deployment.entry_without_reader("entry").await;
        let reader = deployment.reader(&entry);
        reader.read_once().await.unwrap();
        let agent = start("agent", Role::Agent, Vec::new(), timings(), &deployment.partitions).await;
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
        let lagging = start("lagging", Role::Agent, Vec::new(), timings(), &deployment.partitions).await;
        lagging.client.poll(entry.address).await.unwrap();
        for weight in 100..260 {
            deployment.publish(weight).await;
        }
        reader.read_once().await.unwrap();
        assert_eq!(entry.view.changes_after(2), None);
        lagging.client.poll(entry.address).await.unwrap();
        assert_eq!(lagging.view.configuration(), entry.view.configuration());
        assert_eq!(lagging.view.version(), 162);
    }

    // Guards against accepting an answer whose content does not lead to the version that it names.
    inconsistent_answers_are_rejected => {
        let deployment = Deployment::new(timings()).await;
        let agent = start("agent", Role::Agent, Vec::new(), timings(), &deployment.partitions).await;
        let answer = SyncAnswer {
            version: 9, age_ms: Some(0), changes: Vec::new(), snapshot: None, owners: Vec::new(),
            removed_owners: Vec::new(), relays: Vec::new(), wanted: Vec::new(),
        };
        assert!(agent.client.accept(answer, Instant::now()).is_err());
        assert_eq!((agent.view.version(), agent.view.age()), (0, None));
    }

    // Guards against agents that keep their start permission during a store outage.
    age_grows_everywhere_while_the_store_is_down => {
        let timings = SyncTimings { max_permission_age: Duration::from_secs(1), ..timings() };
        let deployment = Deployment::new(timings).await;
        let entry = deployment.entry("entry").await;
        let agents = deployment.agents(5, &[&entry]).await;
        wait_until("all may start", || {
            agents.iter().all(|agent| agent.view.check_start_permission("ventspils").is_ok())
        }).await;
        deployment.table.down.set(true);
        wait_until("none may start", || {
            agents.iter().all(|agent| agent.view.check_start_permission("ventspils").is_err())
        }).await;
        assert!(agents.iter().all(|agent| agent.view.version() == 1));
        deployment.table.down.set(false);
        wait_until("all may start", || {
            agents.iter().all(|agent| agent.view.check_start_permission("ventspils").is_ok())
        }).await;
    }

    // Guards against an entry host that cannot reach its store and does not poll the other entry hosts.
    entry_host_without_store_polls_other_entry_hosts => {
        let deployment = Deployment::new(timings()).await;
        let reading = deployment.entry("reading").await;
        let without_store = start(
            "without-store", Role::Entry, vec![reading.address], timings(), &deployment.partitions,
        ).await;
        let (client, drain) = (Rc::clone(&without_store.client), without_store.drain.clone());
        compio::runtime::spawn(async move { client.poll_entry_hosts(drain).await }).detach();
        let agents = deployment.agents(3, &[&without_store]).await;
        wait_until("the agents have a view", || all_have(&agents, 1)).await;
        // The entry host that reads the table receives the reports of the agents that poll the other one.
        wait_until("all have reported", || reading.membership.alive().len() == 4).await;
        assert!(reading.membership.in_data_centre("ventspils", Role::Agent).iter().all(|member| !member.is_direct));
    }

    // Guards against reports that a relay does not forward, or that are sent again although unchanged.
    reports_are_forwarded_by_relays_once => {
        let slow = SyncTimings { digest_interval: LIMIT, ..timings() };
        let deployment = Deployment::new(slow).await;
        let entry = deployment.entry("entry").await;
        let relay = start("relay", Role::Agent, vec![entry.address], slow, &deployment.partitions).await;
        let agent = start("agent", Role::Agent, vec![relay.address], slow, &deployment.partitions).await;
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

    // Guards against a receiver that keeps a damaged report forever.
    digest_repairs_a_damaged_report => {
        let deployment = Deployment::new(timings()).await;
        let entry = deployment.entry("entry").await;
        let agent = start("agent", Role::Agent, vec![entry.address], timings(), &deployment.partitions).await;
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
        wait_until("the report is repaired", || payload() == b"right").await;
    }

    // Guards against an upstream that has removed a process, as after a restart, and never gets its report
    // again.
    missing_report_is_requested => {
        let deployment = Deployment::new(timings()).await;
        let entry = deployment.entry_without_reader("entry").await;
        let agent = start("agent", Role::Agent, vec![entry.address], timings(), &deployment.partitions).await;
        agent.client.poll(entry.address).await.unwrap();
        assert!(entry.membership.get("agent").is_some());
        // Ticks closer together than half of the limit count as time without contact and not as a pause of
        // this process.
        let mut now = Instant::now();
        while entry.membership.get("agent").is_some() {
            now += LIMIT / 4;
            entry.membership.tick(now);
        }
        agent.client.poll(entry.address).await.unwrap();
        assert!(entry.membership.get("agent").is_none());
        deployment.partition(&entry);
        assert!(agent.client.poll(entry.address).await.is_err());
        deployment.heal();
        agent.client.poll(entry.address).await.unwrap();
        assert!(entry.membership.get("agent").is_some());
    }

    // Guards against owner rows that reach only entry hosts, and against rows that are kept after their
    // deletion.
    owner_rows_reach_agents => {
        let deployment = Deployment::new(timings()).await;
        let entry = deployment.entry_without_reader("entry").await;
        let reader = deployment.reader(&entry);
        let agent = start("agent", Role::Agent, Vec::new(), timings(), &deployment.partitions).await;
        let put = |value: &str| deployment.table.store.apply(&Transaction::new().with_put("owner/ventspils", value));
        for value in ["{\"epoch\":1}", "{\"epoch\":2}"] {
            put(value);
            reader.read_once().await.unwrap();
            agent.client.poll(entry.address).await.unwrap();
            assert_eq!(agent.view.owners(), entry.view.owners());
            assert_eq!(&*agent.view.owners()["ventspils"].value, value);
        }
        deployment.table.store.apply(&Transaction::new().with_delete("owner/ventspils"));
        // A removal is applied only from a newer view, and the transit time adds to the age of the answer.
        let started = Instant::now();
        while !agent.view.owners().is_empty() {
            assert!(started.elapsed() < LIMIT, "the row is kept after its deletion");
            compio::time::sleep(Duration::from_millis(5)).await;
            reader.read_once().await.unwrap();
            agent.client.poll(entry.address).await.unwrap();
        }
    }

    // Guards against a process without the shared secret that reads the configuration or reports as a member.
    secret_is_required => {
        let deployment = Deployment::new(timings()).await;
        let entry = deployment.entry("entry").await;
        let unauthenticated = nutmegwalk_sync::SyncClient::new(
            Client::new("unauthenticated", Secret::new("wrong")).unwrap(),
            nutmegwalk_sync::View::new(timings()),
            report("unauthenticated", Role::Agent, Some("ventspils"), entry.address),
            vec![entry.address],
            timings(),
        );
        assert_eq!(unauthenticated.poll_any().await.unwrap_err().kind, ErrorKind::Unauthenticated);
        assert!(entry.membership.alive().is_empty());
    }
}
