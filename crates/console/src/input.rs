//! The inputs of a draft: the path of each value, and how a posted form changes it.

use config::FieldPath;

use crate::draft;
use crate::draft::Change;
use crate::draft::Draft;
use crate::draft::Kind;
use crate::draft::Service;
use crate::draft::Sharing;
use crate::draft::Upstream;
use crate::draft::Zone;

/// The names and values of a posted form, in order.
pub type FormPairs = Vec<(String, String)>;

/// Returns the value of the first pair with this name.
pub fn value<'a>(pairs: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let pair = pairs.iter().find(|(key, _)| key == name)?;
    Some(&pair.1)
}

/// An editable value and its path.
struct Input<'a> {
    field: FieldPath,
    value: &'a mut String,
}

impl Draft {
    /// Sets the values that a posted form contains. Other values are unchanged.
    pub fn update(&mut self, pairs: &FormPairs) {
        for input in self.inputs() {
            if let Some(posted) = value(pairs, input.field.as_str()) {
                posted.trim().clone_into(input.value);
            }
        }
    }

    /// Adds an item to the list at this path.
    pub fn add(&mut self, path: &str) {
        if path == draft::zones_field().as_str() {
            self.zones.push(Zone::default());
        }
        if path == draft::services_field().as_str() {
            self.services.push(Service::default());
        }
        for (index, service) in self.services.iter_mut().enumerate() {
            service.add(&draft::service_field(index), path);
        }
    }

    /// Removes the item at this path.
    pub fn remove(&mut self, path: &str) {
        remove(&draft::zones_field(), &mut self.zones, path);
        remove(&draft::services_field(), &mut self.services, path);
        for (index, service) in self.services.iter_mut().enumerate() {
            service.remove(&draft::service_field(index), path);
        }
    }

    fn inputs(&mut self) -> Vec<Input<'_>> {
        let mut inputs = self.change.inputs(&draft::change_field());
        for (index, zone) in self.zones.iter_mut().enumerate() {
            inputs.extend(zone.inputs(&draft::zones_field().item(index)));
        }
        for (index, service) in self.services.iter_mut().enumerate() {
            inputs.extend(service.inputs(&draft::service_field(index)));
        }
        inputs
    }
}

fn remove<T>(list: &FieldPath, items: &mut Vec<T>, path: &str) {
    let index = (0..items.len()).find(|index| list.item(*index).as_str() == path);
    if let Some(index) = index {
        items.remove(index);
    }
}

fn input(field: FieldPath, value: &mut String) -> Input<'_> {
    Input { field, value }
}

impl Change {
    fn inputs(&mut self, at: &FieldPath) -> Vec<Input<'_>> {
        vec![
            input(at.member("author"), &mut self.author),
            input(at.member("approver"), &mut self.approver),
            input(at.member("reason"), &mut self.reason),
        ]
    }
}

impl Zone {
    fn inputs(&mut self, at: &FieldPath) -> Vec<Input<'_>> {
        vec![
            input(at.member("name"), &mut self.name),
            input(at.member("region"), &mut self.region),
        ]
    }
}

impl Service {
    fn add(&mut self, at: &FieldPath, path: &str) {
        if path == at.member("addresses").as_str() {
            self.addresses.push(String::new());
        }
        if path == at.member("kinds").as_str() {
            self.kinds.push(Kind::default());
        }
        if path == at.member("upstreams").as_str() {
            self.upstreams.push(Upstream::default());
        }
    }

    fn remove(&mut self, at: &FieldPath, path: &str) {
        remove(&at.member("addresses"), &mut self.addresses, path);
        remove(&at.member("kinds"), &mut self.kinds, path);
        remove(&at.member("upstreams"), &mut self.upstreams, path);
    }

    fn inputs(&mut self, at: &FieldPath) -> Vec<Input<'_>> {
        let mut inputs = vec![input(at.member("name"), &mut self.name)];
        for (index, address) in self.addresses.iter_mut().enumerate() {
            inputs.push(input(at.member("addresses").item(index), address));
        }
        inputs.extend(self.sharing.inputs(&at.member("sharing")));
        for (index, kind) in self.kinds.iter_mut().enumerate() {
            inputs.extend(kind.inputs(&at.member("kinds").item(index)));
        }
        for (index, upstream) in self.upstreams.iter_mut().enumerate() {
            inputs.extend(upstream.inputs(&at.member("upstreams").item(index)));
        }
        inputs
    }
}

impl Sharing {
    fn inputs(&mut self, at: &FieldPath) -> Vec<Input<'_>> {
        vec![
            input(at.member("affinity"), &mut self.affinity),
            input(at.member("prefer-local-zone"), &mut self.prefer_local_zone),
            input(at.member("queue-limit"), &mut self.queue_limit),
            input(at.member("retry-budget-percent"), &mut self.retry_budget_percent),
            input(at.member("slow-start-ms"), &mut self.slow_start_ms),
        ]
    }
}

impl Kind {
    fn inputs(&mut self, at: &FieldPath) -> Vec<Input<'_>> {
        vec![
            input(at.member("name"), &mut self.name),
            input(at.member("weight"), &mut self.weight),
            input(at.member("idempotent"), &mut self.idempotent),
        ]
    }
}

impl Upstream {
    fn inputs(&mut self, at: &FieldPath) -> Vec<Input<'_>> {
        vec![
            input(at.member("name"), &mut self.name),
            input(at.member("zone"), &mut self.zone),
            input(at.member("address"), &mut self.address),
            input(at.member("slots"), &mut self.slots),
            input(at.member("state"), &mut self.state),
        ]
    }
}
