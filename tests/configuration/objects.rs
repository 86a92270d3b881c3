//! A small valid set of configuration objects.

use hibiscusyoke::state::{document::Document, objects::Objects};

const OBJECTS: &str = r#"{
  "models": { "draft": {} },
  "versions": {
    "small": { "model": "draft", "cost": 10, "prior_quality": 0.7 },
    "large": { "model": "draft", "cost": 90, "prior_quality": 0.9 }
  },
  "failure_domains": {
    "padana-a": { "region": "padana" },
    "padana-b": { "region": "padana" }
  },
  "rules": { "gate": { "versions": ["small", "large"], "quality": 0.8, "deadline_ms": 2000 } },
  "customers": { "clerks": { "keys": [], "versions": ["small", "large"], "rules": ["gate"] } },
  "upstreams": {
    "engine-1": {
      "address": "127.0.0.1:9001", "failure_domain": "padana-a",
      "offer": { "engine": { "versions": ["small"], "warm": 8, "cold": 2 } }
    },
    "engine-2": {
      "address": "127.0.0.1:9002", "failure_domain": "padana-b",
      "offer": { "engine": { "versions": ["large"], "warm": 8, "cold": 2 } }
    }
  }
}"#;

pub(crate) fn small_set() -> Objects {
    Document::new("small set", OBJECTS).parse().unwrap()
}
