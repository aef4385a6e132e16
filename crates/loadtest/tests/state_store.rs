//! Conformance of the state store's stand-in and of the rate limit of all stand-ins to the protocol.

use glenmount_loadtest::protocol::state_store::Transaction;
use glenmount_loadtest::stand_ins::state_store::key_value_store::{
    KeyValueStore, SizeLimits, TransactionOutcome,
};
use glenmount_loadtest::stand_ins::token_bucket::TokenBucket;

const SIZE_LIMITS: SizeLimits = SizeLimits {
    value_bytes: 64,
    changes: 3,
};

fn transact(store: &mut KeyValueStore, text: &str) -> TransactionOutcome {
    let transaction: Transaction = serde_json::from_str(text).unwrap();
    store.transact(transaction, text.len(), SIZE_LIMITS)
}

#[test]
fn a_transaction_commits_only_if_its_conditions_hold() {
    let mut store = KeyValueStore::default();
    let creation =
        r#"{"if":[{"k":"c/a","stamp":0}],"apply":[{"put":"c/a","v":1},{"put":"d/b","v":2}]}"#;
    assert_eq!(
        transact(&mut store, creation),
        TransactionOutcome::Committed(1)
    );
    let failed_keys = vec!["c/a".to_string()];
    assert_eq!(
        transact(&mut store, creation),
        TransactionOutcome::Conflict {
            failed_keys,
            revision: 1
        }
    );
    let update = r#"{"if":[{"k":"c/a","stamp":1}],"apply":[{"put":"c/a","v":1}]}"#;
    assert_eq!(
        transact(&mut store, update),
        TransactionOutcome::Committed(2)
    );
    let page = store.list("c/", "", 10);
    assert_eq!((page.items.len(), page.more), (1, false));
    assert!(store.list("c/", "c/a", 10).items.is_empty());
    let removal = r#"{"if":[{"k":"c/a","stamp":2}],"apply":[{"remove":"c/a"}]}"#;
    assert_eq!(
        transact(&mut store, removal),
        TransactionOutcome::Committed(3)
    );
    assert!(store.get("c/a").is_none() && store.revision() == 3);
    assert_eq!(store.changes_since("c/", 2).unwrap().len(), 1);
    assert_eq!(store.changes_since("", 0).unwrap().len(), 4);
    assert_eq!((store.key_count(), store.bytes()), (1, 4));
}

#[test]
fn a_transaction_above_the_limits_is_rejected_and_changes_nothing() {
    let mut store = KeyValueStore::default();
    let large = format!(r#"{{"apply":[{{"put":"c/a","v":"{}"}}]}}"#, "x".repeat(70));
    let many = r#"{"apply":[{"remove":"a"},{"remove":"b"},{"remove":"c"},{"remove":"d"}]}"#;
    let spaces = r#"{"apply":[{"put":"a b","v":1}]}"#;
    let lease = r#"{"apply":[{"put":"a","v":1,"tenancy":9}]}"#;
    for text in [large.as_str(), many, spaces, lease] {
        let outcome = transact(&mut store, text);
        assert!(
            matches!(outcome, TransactionOutcome::Malformed(_)),
            "{text}: {outcome:?}"
        );
    }
    assert_eq!((store.revision(), store.key_count()), (0, 0));
}

#[test]
fn keys_expire_with_their_lease_and_an_outdated_watch_is_rejected() {
    let mut store = KeyValueStore::default();
    let lease = store.grant_lease(1_000, 0);
    let put = format!(r#"{{"apply":[{{"put":"a","v":1,"tenancy":{lease}}}]}}"#);
    assert_eq!(transact(&mut store, &put), TransactionOutcome::Committed(1));
    assert!(
        store.renew_lease(lease, 900) && !store.expire_leases(1_800) && store.expire_leases(2_000)
    );
    assert_eq!((store.key_count(), store.revision()), (0, 2));
    for value in 0..10_001 {
        transact(
            &mut store,
            &format!(r#"{{"apply":[{{"put":"k","v":{value}}}]}}"#),
        );
    }
    assert!(store.changes_since("", 1).is_none());
    assert_eq!(store.changes_since("", 10_000).unwrap().len(), 3);
}

#[test]
fn a_token_bucket_allows_its_burst_and_then_its_rate() {
    let mut bucket = TokenBucket::new(10.0, 2.0);
    assert!((0..20).all(|_| bucket.take(1.0, 0)));
    assert!(!bucket.take(1.0, 0) && bucket.take(1.0, 100) && !bucket.take(1.0, 150));
}
