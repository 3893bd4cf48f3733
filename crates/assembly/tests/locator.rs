//! Tests of locating the owner.

use std::rc::Rc;

use nutmegwalk_assembly::OwnerLocator;
use nutmegwalk_lease::OwnerRow;
use nutmegwalk_lease::owner_key;
use nutmegwalk_store::MemoryStore;
use nutmegwalk_store::StoreClient;
use nutmegwalk_store::Transaction;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() $body)* };
}

fn write(store: &MemoryStore, epoch: u64, renewal: u64) {
    let row = OwnerRow {
        epoch,
        holder: "agent-1".into(),
        address: "127.0.0.1:7000".into(),
        renewal,
        incarnation: 1,
        renewed_at_ms: None,
    };
    let value = serde_json::to_string(&row).expect("encoded row");
    store.apply(&Transaction::new().with_put(owner_key("test"), value));
}

cases! {
    // Guards against an owner that is never found because a request reached it before its term began.
    owner_rejected_before_its_term_is_found_after_its_next_renewal => {
        compio::runtime::Runtime::new().expect("runtime").block_on(async {
            let store = Rc::new(MemoryStore::new());
            let client = StoreClient::new(store.clone(), store.clone());
            let locator = OwnerLocator::new(client, "test", None);
            write(&store, 2, 5);
            locator.refresh().await;
            assert!(locator.address().is_some());
            locator.invalidate();
            locator.refresh().await;
            assert!(locator.address().is_none());
            write(&store, 2, 6);
            locator.refresh().await;
            assert!(locator.address().is_some());
        });
    }
}
