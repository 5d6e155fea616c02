//! What callers and upstreams observed, and the guarantees that it is checked against.

use {
    crate::{
        users_platform::{Message, RESPONSE_STAMP_HEADER, Upstream},
        version_checks::VersionChecks,
    },
    std::{
        collections::{BTreeMap, HashMap},
        sync::Mutex,
    },
};

/// Description of a violated guarantee.
pub type Violation = String;

/// Observations of all callers.
#[derive(Default)]
pub struct Record {
    pub version_checks: VersionChecks,
    observations: Mutex<Observations>,
}

#[derive(Default)]
struct Observations {
    /// IDs of unsafe requests whose answers stated that they did not run.
    not_run: Vec<String>,
    answers: BTreeMap<u16, usize>,
    violations: Vec<Violation>,
}

impl Record {
    /// Checks an answer to a valid request on a route that all versions contain.
    pub fn check_answer(&self, id: &str, repeatable: bool, answer: &Message) {
        let mut observations = self.observations.lock().unwrap();
        let status = answer.status();
        *observations.answers.entry(status).or_default() += 1;
        if answer.header("pointvane-request-id") != Some(id) {
            observations
                .violations
                .push(format!("{id}: the answer names request {:?}", answer.header("pointvane-request-id")));
        }
        if status == 200 && (answer.body != b"hello" || answer.header(RESPONSE_STAMP_HEADER) != Some("s")) {
            let (body, stamp) = (String::from_utf8_lossy(&answer.body), answer.header(RESPONSE_STAMP_HEADER));
            observations.violations.push(format!(
                "{id}: status 200 without the upstream's complete answer: {body:?}, stamp {stamp:?}"
            ));
        }
        if matches!(status, 408 | 421 | 429 | 503) && !repeatable {
            observations.not_run.push(id.into());
        }
        if (300..500).contains(&status) && !matches!(status, 408 | 421 | 429) {
            observations
                .violations
                .push(format!("{id}: a valid request on a route of all versions got {status}"));
        }
    }

    /// Records a violation found by another check.
    pub fn add_violation(&self, violation: Violation) {
        self.observations.lock().unwrap().violations.push(violation);
    }

    /// Returns all violations, including those that show in the requests that upstreams ran.
    pub fn violations(&self, upstreams: &[Upstream]) -> Vec<Violation> {
        let mut runs: HashMap<String, usize> = HashMap::new();
        for upstream in upstreams {
            upstream
                .executed_ids
                .lock()
                .unwrap()
                .iter()
                .for_each(|id| *runs.entry(id.clone()).or_default() += 1);
        }
        let observations = self.observations.lock().unwrap();
        let mut violations = observations.violations.clone();
        violations.extend(self.version_checks.violations());
        let repeated = runs.iter().filter(|(id, runs)| id.starts_with("unsafe") && **runs > 1);
        violations.extend(repeated.map(|(id, runs)| format!("{id} ran {runs} times")));
        let executed = observations.not_run.iter().filter(|id| runs.contains_key(*id));
        violations.extend(executed.map(|id| format!("{id} ran, though its answer said that it had not")));
        violations
    }

    /// Returns the number of answers by status.
    pub fn answers(&self) -> BTreeMap<u16, usize> {
        self.observations.lock().unwrap().answers.clone()
    }
}
