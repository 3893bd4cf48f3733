//! Tests of the behaviour under overload and of the fairness between customers.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::Agent;
use common::Backend;
use common::eventually;
use common::request;
use common::router;

use nutmegwalk_base::Outcome;
use nutmegwalk_calls::CallAnswer;
use nutmegwalk_calls::Router;

fn spawn(
    router: &Router,
    customer: &str,
    body: String,
) -> compio::runtime::JoinHandle<(String, CallAnswer)> {
    let router = router.clone();
    let mut call = request(&body);
    call.customer = customer.into();
    compio::runtime::spawn(async move { (body, router.call(call).await) })
}

cases! {
    // Guards against refused calls reaching a server, and against unused slots while calls are refused.
    // Goodput is measured by the slots in use and the calls done.
    overload_uses_all_slots_and_runs_no_refused_call => {
        let mut backends = Vec::new();
        let mut agents = Vec::new();
        for _ in 0..3 {
            let backend = Backend::start().await;
            agents.push(Agent::with_backend(&backend, 4).await);
            backends.push(backend);
        }
        let router = router(&agents.iter().collect::<Vec<_>>(), None);
        for backend in &backends {
            backend.state.is_holding_requests.set(true);
        }
        // The capacity is 24: 12 slots and 12 queued calls.
        let calls: Vec<_> = (0..120).map(|number| spawn(&router, "valmiera", format!("c{number}"))).collect();
        eventually("all slots are in use", || {
            backends.iter().all(|backend| backend.state.running.get() == 4)
        }).await;
        eventually("the others are refused or wait", || router.counts().refused >= 96).await;
        for backend in &backends {
            backend.state.is_holding_requests.set(false);
        }
        let mut done = 0;
        for call in calls {
            let (body, answer) = call.await.unwrap();
            let runs: u32 = backends.iter().map(|backend| backend.runs_of(&body)).sum();
            match answer.outcome() {
                Outcome::Done => {
                    done += 1;
                    assert_eq!(runs, 1);
                }
                Outcome::NotRun => {
                    assert_eq!(runs, 0, "{body} was refused and ran");
                    assert!(answer.result.unwrap_err().retry_after_ms.is_some());
                }
                Outcome::Unknown => panic!("{body}: {:?}", answer.result),
            }
        }
        // Seven eighths of the capacity are available to calls beyond their customer's rate.
        assert!(done >= 20, "{done} done");
        assert!(backends.iter().all(|backend| backend.state.max_running.get() == 4));
    }

    // Guards against a customer with many calls blocking a customer that is within its rate.
    noisy_customer_does_not_block_a_customer_within_its_rate => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 4).await;
        let router = router(&[&agent], None);
        backend.state.delay.set(Duration::from_millis(5));
        router.set_customer_rates(&BTreeMap::from([("quiet".into(), 1000.0)]));
        let mut quiet = Vec::new();
        let mut noisy = Vec::new();
        for round in 0..20 {
            noisy.extend((0..40).map(|number| spawn(&router, "noisy", format!("n{round}-{number}"))));
            quiet.push(spawn(&router, "quiet", format!("q{round}")));
            compio::time::sleep(Duration::from_millis(2)).await;
        }
        for call in quiet {
            let (body, answer) = call.await.unwrap();
            assert_eq!(answer.outcome(), Outcome::Done, "{body}: {:?}", answer.result);
        }
        let mut refused = 0;
        for call in noisy {
            let (body, answer) = call.await.unwrap();
            if answer.outcome() == Outcome::NotRun {
                refused += 1;
                assert_eq!(backend.runs_of(&body), 0);
            }
        }
        assert!(refused > 0);
    }

    // Guards against a customer beyond its rate using all available capacity, so that another customer gets
    // none.
    available_capacity_is_shared => {
        let backend = Backend::start().await;
        let agent = Agent::with_backend(&backend, 8).await;
        let router = router(&[&agent], None);
        backend.state.is_holding_requests.set(true);
        // The capacity is 16, of which 14 are available to calls beyond their customer's rate.
        let first: Vec<_> = (0..30).map(|number| spawn(&router, "first", format!("a{number}"))).collect();
        eventually("the first customer has used up its share", || router.counts().refused == 16).await;
        // Calls of the first customer end one after the other while the second customer makes new calls.
        backend.state.is_holding_requests.set(false);
        backend.state.delay.set(Duration::from_millis(2));
        let mut second = Vec::new();
        for round in 0..30 {
            second.push(spawn(&router, "second", format!("b{round}")));
            compio::time::sleep(Duration::from_millis(1)).await;
        }
        let mut done = 0;
        for call in second {
            done += u32::from(call.await.unwrap().1.outcome() == Outcome::Done);
        }
        assert!(done >= 10, "the second customer got {done} calls");
        for call in first {
            call.await.unwrap();
        }
    }
}
