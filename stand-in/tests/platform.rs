//! Tests the fakes of the platform's services.

mod support;

use std::time::{Duration, Instant};

use compact_str::CompactString;
use http::Method;
use platform_api::{
    instances::{self, Instance, InstanceState, Instances, Role},
    rating::{self, RateRequest, Rating},
    table::{
        ABSENT, COMMIT_PATH, CommitOutcome, CommitRequest, Condition, READ_PATH, ReadRequest, Rows,
        SCAN_PATH, ScanRequest, Write,
    },
};
use stand_in::{
    client,
    control::Control,
    instances::{InstanceList, InstancesConfig},
    objects::ObjectStore,
    rating::{RatingConfig, RatingService},
    server::RoleHandle,
    stats::{RoleStats, TableStats},
    table::Table,
    weights::{WeightStore, WeightsConfig},
};
use support::{loopback, post, post_json};

fn write(key: &str, value: Option<&str>) -> Write {
    Write {
        key: key.into(),
        value: value.map(Into::into),
    }
}

fn condition(key: &str, version: u64) -> Condition {
    Condition {
        key: key.into(),
        version,
    }
}

async fn commit(
    table: &RoleHandle,
    conditions: Vec<Condition>,
    writes: Vec<Write>,
) -> CommitOutcome {
    let req = CommitRequest { conditions, writes };
    post_json(table.address, COMMIT_PATH, &req).await
}

fn keys(rows: &Rows) -> Vec<&str> {
    rows.rows.iter().map(|r| r.key.as_str()).collect()
}

#[tokio::test]
async fn table_commits_are_atomic() {
    let table = Table::spawn(loopback()).await.unwrap();
    let writes = vec![write("a", Some("1")), write("b", Some("2"))];
    let first = commit(&table, vec![condition("a", ABSENT)], writes).await;
    let CommitOutcome::Committed { version } = first else {
        panic!("{first:?}");
    };
    let conditions = vec![condition("a", version), condition("b", version + 7)];
    let refused = commit(&table, conditions, vec![write("a", None)]).await;
    let CommitOutcome::Conflict { current } = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(current.len(), 1);
    assert_eq!(
        (current[0].key.as_str(), current[0].version),
        ("b", version)
    );
    let deleted = commit(
        &table,
        vec![condition("a", version)],
        vec![write("a", None)],
    )
    .await;
    assert!(matches!(deleted, CommitOutcome::Committed { version: v } if v > version));
    let read = ReadRequest {
        keys: vec!["a".into(), "b".into()],
    };
    let rows: Rows = post_json(table.address, READ_PATH, &read).await;
    assert_eq!(keys(&rows), ["b"]);
    let expected = TableStats {
        reads: 1,
        writes: 3,
        conflicts: 1,
        rows: 1,
    };
    assert_eq!(table.stats().role, RoleStats::Table(expected));
}

#[tokio::test]
async fn table_scan_returns_pages() {
    let table = Table::spawn(loopback()).await.unwrap();
    let all = ["a/1", "b/1", "b/2", "b/3", "c/1"];
    let writes = all.iter().map(|k| write(k, Some(""))).collect();
    commit(&table, Vec::new(), writes).await;
    let scan = async |after: &str| -> Rows {
        let req = ScanRequest {
            prefix: "b/".into(),
            after: after.into(),
            limit: 2,
        };
        post_json(table.address, SCAN_PATH, &req).await
    };
    let first = scan("").await;
    assert_eq!((keys(&first), first.more), (vec!["b/1", "b/2"], true));
    let second = scan("b/2").await;
    assert_eq!((keys(&second), second.more), (vec!["b/3"], false));
    assert!(scan("b/3").await.rows.is_empty());
}

#[tokio::test]
async fn objects_are_stored_unchanged() {
    let objects = ObjectStore::spawn(loopback()).await.unwrap();
    let get = || client::call(objects.address, Method::GET, "/objects/a/b", "");
    assert_eq!(get().await.unwrap().status(), 404);
    let put = client::call(objects.address, Method::PUT, "/objects/a/b", "whole");
    assert_eq!(put.await.unwrap().status(), 200);
    let body = client::read_body(objects.address, get().await.unwrap()).await;
    assert_eq!(body.unwrap(), "whole");
}

#[tokio::test]
async fn instance_list_lags() {
    let lag = Duration::from_millis(150);
    let cfg = InstancesConfig {
        lag,
        instances: Vec::new(),
    };
    let list = InstanceList::spawn(cfg, loopback()).await.unwrap();
    let instance = Instance {
        name: "e1".into(),
        role: Role::Upstream,
        failure_domain: "padana-a".into(),
        address: loopback(),
        state: InstanceState::Leaving,
    };
    let instances = vec![instance.clone()];
    let changed_at = Instant::now();
    let control = Control::SetInstances { instances };
    client::control(list.control_address, &control)
        .await
        .unwrap();
    loop {
        let seen: Instances = client::get_json(list.address, instances::PATH)
            .await
            .unwrap();
        if seen.instances == [instance.clone()] {
            break;
        }
        assert_eq!(seen, Instances::default());
        assert!(changed_at.elapsed() < Duration::from_secs(5));
    }
    assert!(changed_at.elapsed() >= lag);
}

#[tokio::test]
async fn weight_reads_over_the_rate_are_refused() {
    let cfg = WeightsConfig {
        reads_per_second: 0.001,
        burst: 2.0,
        weight_bytes: 10,
    };
    let weights = WeightStore::spawn(cfg, loopback()).await.unwrap();
    let mut statuses = Vec::new();
    for _ in 0..3 {
        let res = client::call(weights.address, Method::GET, "/weights/small-1", "").await;
        statuses.push(res.unwrap().status().as_u16());
    }
    assert_eq!(statuses, [200, 200, 429]);
}

#[tokio::test]
async fn ratings_are_noisy_and_repeatable() {
    let cfg = RatingConfig {
        seed: 7,
        noise: 0.1,
    };
    let service = RatingService::spawn(cfg, loopback()).await.unwrap();
    let rate = async |id: CompactString, answer: &str| -> f64 {
        let req = RateRequest {
            request_id: id,
            version: "small-1".into(),
            prompt: String::new(),
            answer: answer.into(),
        };
        let rating: Rating = post_json(service.address, rating::PATH, &req).await;
        rating.quality
    };
    let mut sum = 0.0;
    for i in 0..100 {
        let quality = rate(format!("r{i}").into(), "q060 w0001 ").await;
        assert!((quality - 0.6).abs() <= 0.1, "{quality}");
        sum += quality;
    }
    assert!((sum / 100.0 - 0.6).abs() < 0.03, "{sum}");
    let first = rate("r1".into(), "q060 ").await;
    assert!((first - rate("r1".into(), "q060 ").await).abs() < f64::EPSILON);
    assert!(rate("r1".into(), "no quality").await.abs() < f64::EPSILON);
}

#[tokio::test]
async fn unsupported_control_is_refused() {
    let table = Table::spawn(loopback()).await.unwrap();
    let control = Control::SetNoise { noise: 0.5 };
    assert!(
        client::control(table.control_address, &control)
            .await
            .is_err()
    );
    let res = post(
        table.control_address,
        "/control",
        "{\"control\":\"no_such\"}",
    )
    .await;
    assert_eq!(res.unwrap().status(), 400);
}
