//! Tests the command: every role starts, prints its addresses and answers on its control address.

mod support;

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
};

use stand_in::{client, control::Control, stats::RoleStats};

/// Child process that is killed on drop.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn command(args: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_stand-in"));
    command.args(args);
    command
}

#[tokio::test]
async fn every_role_listens_and_answers_control() {
    let engine = r#"{"versions":[{"name":"small-1","skill":0.5}],"token":3}"#;
    let roles: [&[&str]; 8] = [
        &["table"],
        &["objects"],
        &["instances", "--config", r#"{"lag":20}"#],
        &["weights", "--config", r#"{"reads_per_second":1.5}"#],
        &["rating"],
        &["engine", "--config", engine],
        &["service"],
        &["relay", "--target", "127.0.0.1:9"],
    ];
    for args in roles {
        let child = command(args).stdout(Stdio::piped()).spawn().unwrap();
        let mut process = Process(child);
        let mut line = String::new();
        let out = process.0.stdout.take().unwrap();
        BufReader::new(out).read_line(&mut line).unwrap();
        let words: Vec<_> = line.split_whitespace().collect();
        assert_eq!((words[0], words[2]), ("listening", "control"), "{line}");
        let address: SocketAddr = words[1].parse().unwrap();
        let control: SocketAddr = words[3].parse().unwrap();
        assert_ne!(address.port(), 0);
        client::control(control, &Control::Heal).await.unwrap();
        let role = client::stats(control).await.unwrap().role;
        let role_name = match role {
            RoleStats::Table(_) => "table",
            RoleStats::Objects(_) => "objects",
            RoleStats::Instances(_) => "instances",
            RoleStats::Weights(_) => "weights",
            RoleStats::Rating(_) => "rating",
            RoleStats::Engine(_) => "engine",
            RoleStats::Service(_) => "service",
            RoleStats::Relay => "relay",
        };
        assert_eq!(role_name, args[0]);
    }
}

#[test]
fn misspelt_config_is_rejected() {
    let out = command(&["engine", "--config", r#"{"slot":1}"#])
        .output()
        .unwrap();
    assert_eq!(out.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&out.stderr).contains("slot"));
}
