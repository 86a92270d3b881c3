//! Stand-ins of the store, the replicas and the requesters, and the cases that use them.
//!
//! `lab replica ...` runs a replica, `lab read-log` a reader of logs; `lab CASE RECORD` runs a case and exits with 1 if a rule was broken, 0 if
//! it held, and 2 if the case could not be run. With `TROUBLE=0` in the environment, nothing is disturbed.

use std::{
    io,
    path::{Path, PathBuf},
    process::ExitCode,
    thread,
    time::Duration,
};

mod cases;
mod deployment;
mod http;
mod json;
mod replica;
mod store;

use deployment::Record;

/// Time after which a case that has not ended is given up.
const CASE_TIMEOUT: Duration = Duration::from_secs(110);

/// Whether a rule was kept in a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = arguments.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["replica", id, listen, log, trouble, framing] => {
            let options = replica::Options {
                id: (*id).into(),
                listen: (*listen).into(),
                log: PathBuf::from(log),
                trouble: PathBuf::from(trouble),
                is_unframed: *framing == "unframed",
            };
            match replica::run(options) {
                Ok(()) => ExitCode::SUCCESS,
                Err(e) => {
                    eprintln!("replica: {e}");
                    ExitCode::from(2)
                }
            }
        }
        ["read-log"] => match io::copy(&mut io::stdin(), &mut io::stdout()) {
            Ok(_) => ExitCode::SUCCESS,
            Err(_) => ExitCode::from(2),
        },
        [case, record] => run_case(case, Path::new(record)),
        _ => {
            eprintln!("usage: lab CASE RECORD");
            ExitCode::from(2)
        }
    }
}

fn run_case(name: &str, path: &Path) -> ExitCode {
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let result = Record::create(path).and_then(|record| {
        record.line(&format!("case {name} trouble={has_trouble}"));
        let case = cases::find(name).ok_or_else(|| io::Error::other("unknown case"))?;
        let running = record.clone();
        let (tx, rx) = std::sync::mpsc::channel();
        thread::spawn(move || tx.send(case(&running, has_trouble)));
        let verdict = rx.recv_timeout(CASE_TIMEOUT).map_err(io::Error::other)??;
        record.line(&format!("verdict {verdict:?}"));
        Ok(verdict)
    });
    deployment::end_all();
    match result {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(e) => {
            eprintln!("case {name}: {e}");
            ExitCode::from(2)
        }
    }
}
