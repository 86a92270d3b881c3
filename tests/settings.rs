//! Tests that valid settings and configuration files are accepted, and that invalid ones are
//! rejected with the expected error and position.
#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::{
    fs,
    path::{Path, PathBuf},
    slice,
};

use hibiscusyoke::{
    commands::files::ConfigurationFiles,
    settings::Settings,
    state::{check::check, diff::ObjectKind},
};

/// Returns the files of a folder, sorted by path.
fn samples(folder: &str) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).unwrap();
    let mut files: Vec<PathBuf> = entries.map(|entry| entry.unwrap().path()).collect();
    files.sort();
    assert!(!files.is_empty(), "{folder} is empty");
    files
}

/// Returns the error that an invalid sample states in its first line, prefixed with its path.
fn expected(file: &Path) -> String {
    let text = fs::read_to_string(file).unwrap();
    let first = text.lines().next().unwrap();
    let error = first
        .strip_prefix("// ")
        .expect("the first line should state the expected error");
    format!("{}:{error}", file.display())
}

fn faults(file: &PathBuf) -> Vec<String> {
    match ConfigurationFiles::open(slice::from_ref(file)) {
        Ok(files) => {
            let faults = check(&files.objects);
            faults
                .iter()
                .map(|fault| files.describe_fault(fault))
                .collect()
        }
        Err(e) => vec![e.to_string()],
    }
}

#[test]
fn settings_bad_samples() {
    for file in samples("tests/samples/settings") {
        let error = Settings::open(&file).map(|_| ()).unwrap_err();
        assert_eq!(error.to_string(), expected(&file));
    }
}

#[test]
fn configuration_bad_samples() {
    for file in samples("tests/samples/configuration") {
        assert_eq!(faults(&file), [expected(&file)]);
    }
}

#[test]
fn settings_missing_file() {
    let error = Settings::open(Path::new("tests/samples/none.jsonc"));
    let error = error.map(|_| ()).unwrap_err().to_string();
    assert!(error.starts_with("tests/samples/none.jsonc: "), "{error}");
}

#[test]
fn examples_accepted() {
    for (folder, domain) in [("filmverde", "padana-a"), ("korrig", "breizh-rennes")] {
        let settings = Settings::open(&PathBuf::from(format!("examples/{folder}/settings.jsonc")));
        assert_eq!(settings.unwrap().failure_domain, domain);
        let file = PathBuf::from(format!("examples/{folder}/configuration.jsonc"));
        assert_eq!(faults(&file), Vec::<String>::new());
        let objects = ConfigurationFiles::open(&[file]).unwrap().objects;
        let count = |kind: ObjectKind| {
            objects
                .puts()
                .iter()
                .filter(|c| c.id().kind == kind)
                .count()
        };
        assert_eq!(count(ObjectKind::FailureDomain), 3, "{folder}");
        assert_eq!(count(ObjectKind::Upstream), 13, "{folder}");
        assert_eq!(count(ObjectKind::Customer), 10, "{folder}");
    }
}
