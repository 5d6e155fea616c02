//! What differs between two configurations, in words.

use {
    crate::configuration::{Configuration, Service, Upstream},
    pointvane_core::Name,
    serde::Serialize,
    std::{collections::BTreeMap, fmt},
};

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Difference {
    /// What it is about, such as `service dispatch`.
    pub subject: String,
    /// What changes, such as `added`.
    pub what: String,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.subject, self.what)
    }
}

fn change(subject: impl Into<String>, what: impl Into<String>) -> Difference {
    Difference { subject: subject.into(), what: what.into() }
}

/// The differences from `old` to `new`, services and upstreams by name.
pub fn diff(old: &Configuration, new: &Configuration) -> Vec<Difference> {
    let mut changes = Vec::new();
    if old.revision != new.revision {
        changes.push(change("revision", format!("{} -> {}", old.revision, new.revision)));
    }
    if old.limits != new.limits {
        changes.push(change("limits", format!("{:?} -> {:?}", old.limits, new.limits)));
    }
    let old_services = by_name(&old.services, |service| &service.name);
    let new_services = by_name(&new.services, |service| &service.name);
    for (name, service) in &old_services {
        match new_services.get(name) {
            None => changes.push(change(format!("service {name}"), "removed")),
            Some(other) => diff_service(service, other, &mut changes),
        }
    }
    let added = new_services.keys().filter(|name| !old_services.contains_key(*name));
    changes.extend(added.map(|name| change(format!("service {name}"), "added")));
    changes
}

fn diff_service(old: &Service, new: &Service, changes: &mut Vec<Difference>) {
    let subject = format!("service {}", old.name);
    let bare = |service: &Service| Service { upstreams: Vec::new(), ..service.clone() };
    if bare(old) != bare(new) {
        changes.push(change(&*subject, "rules changed"));
    }
    let old_upstreams = by_name(&old.upstreams, |upstream| &upstream.name);
    let new_upstreams = by_name(&new.upstreams, |upstream| &upstream.name);
    for (name, upstream) in &old_upstreams {
        let subject = format!("{subject} upstream {name}");
        match new_upstreams.get(name) {
            None => changes.push(change(subject, "removed")),
            Some(other) if other != upstream => changes.push(change(subject, describe(upstream, other))),
            Some(_) => {}
        }
    }
    let added = new_upstreams.keys().filter(|name| !old_upstreams.contains_key(*name));
    changes.extend(added.map(|name| change(format!("{subject} upstream {name}"), "added")));
}

fn describe(old: &Upstream, new: &Upstream) -> String {
    format!("{} with {} slots -> {} with {} slots", old.address, old.slots, new.address, new.slots)
}

fn by_name<'a, T>(items: &'a [T], name: impl Fn(&'a T) -> &'a Name) -> BTreeMap<&'a Name, &'a T> {
    items.iter().map(|item| (name(item), item)).collect()
}
