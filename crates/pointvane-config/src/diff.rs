//! Compares two configurations and describes their differences as text.

use {
    crate::configuration::{Configuration, Service, Upstream},
    pointvane_core::Name,
    serde::Serialize,
    std::{collections::BTreeMap, fmt},
};

/// One difference between two configurations.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// The item that differs, such as `service dispatch`.
    pub subject: String,
    /// The kind of change, such as `added`, or the old and new values.
    pub what: String,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.subject, self.what)
    }
}

fn difference(subject: impl Into<String>, what: impl Into<String>) -> Difference {
    Difference { subject: subject.into(), what: what.into() }
}

/// Returns the differences from `old` to `new`; services and upstreams are matched by name.
pub fn diff(old: &Configuration, new: &Configuration) -> Vec<Difference> {
    let mut differences = Vec::new();
    if old.revision != new.revision {
        differences.push(difference("revision", format!("{} -> {}", old.revision, new.revision)));
    }
    if old.limits != new.limits {
        differences.push(difference("limits", format!("{:?} -> {:?}", old.limits, new.limits)));
    }
    let old_services = index_by_name(&old.services, |service| &service.name);
    let new_services = index_by_name(&new.services, |service| &service.name);
    for (name, service) in &old_services {
        match new_services.get(name) {
            None => differences.push(difference(format!("service {name}"), "removed")),
            Some(other) => diff_service(service, other, &mut differences),
        }
    }
    let added = new_services.keys().filter(|name| !old_services.contains_key(*name));
    differences.extend(added.map(|name| difference(format!("service {name}"), "added")));
    differences
}

fn diff_service(old: &Service, new: &Service, differences: &mut Vec<Difference>) {
    let subject = format!("service {}", old.name);
    let without_upstreams = |service: &Service| Service { upstreams: Vec::new(), ..service.clone() };
    if without_upstreams(old) != without_upstreams(new) {
        differences.push(difference(&*subject, "rules changed"));
    }
    let old_upstreams = index_by_name(&old.upstreams, |upstream| &upstream.name);
    let new_upstreams = index_by_name(&new.upstreams, |upstream| &upstream.name);
    for (name, upstream) in &old_upstreams {
        let subject = format!("{subject} upstream {name}");
        match new_upstreams.get(name) {
            None => differences.push(difference(subject, "removed")),
            Some(other) if other != upstream => {
                differences.push(difference(subject, describe_change(upstream, other)))
            }
            Some(_) => {}
        }
    }
    let added = new_upstreams.keys().filter(|name| !old_upstreams.contains_key(*name));
    differences.extend(added.map(|name| difference(format!("{subject} upstream {name}"), "added")));
}

fn describe_change(old: &Upstream, new: &Upstream) -> String {
    format!("{} with {} slots -> {} with {} slots", old.address, old.slots, new.address, new.slots)
}

fn index_by_name<'a, T>(items: &'a [T], name: impl Fn(&'a T) -> &'a Name) -> BTreeMap<&'a Name, &'a T> {
    items.iter().map(|item| (name(item), item)).collect()
}
