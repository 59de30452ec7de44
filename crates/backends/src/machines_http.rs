//! The machine list over HTTP, in the format of Prometheus' HTTP service discovery.
//!
//! A list with an entity tag is read again on condition that it changed (RFC 9110, section 13.1.2).
//! One without is read whole every time.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_trait::async_trait;
use flaxward_types::engine::{Machine, MachineRole};
use reqwest::header::{HeaderValue, IF_NONE_MATCH};
use reqwest::{Client, RequestBuilder};
use serde::Deserialize;

use crate::http_client::{Answer, CallError, TimeLimits, call, client, text_of};
use crate::machines::{MachineList, MachineListError};

const OK: u16 = 200;
const NOT_MODIFIED: u16 = 304;

/// Client of the machine list.
#[derive(Debug)]
pub struct MachinesHttp {
    client: Client,
    url: String,
    limits: TimeLimits,
    held: Mutex<Option<HeldList>>,
}

/// The list last read whole, with the entity tag that names it.
#[derive(Clone, Debug)]
struct HeldList {
    entity_tag: HeaderValue,
    machines: Vec<Machine>,
}

/// One group of targets with common labels.
#[derive(Debug, Deserialize)]
struct TargetGroup {
    targets: Vec<String>,
    labels: BTreeMap<String, String>,
}

impl MachinesHttp {
    /// A client of the list at a URL such as `http://10.0.0.1:9000/machines`.
    ///
    /// # Errors
    /// Fails if the HTTP library cannot be set up.
    pub fn new(url: &str, limits: TimeLimits) -> Result<Self, MachineListError> {
        let client = client(limits).map_err(|error| MachineListError(text_of(&error)))?;
        Ok(Self {
            client,
            url: url.to_owned(),
            limits,
            held: Mutex::new(None),
        })
    }

    fn held(&self) -> MutexGuard<'_, Option<HeldList>> {
        // The list is replaced in one step, so a panic elsewhere leaves it whole.
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn request(&self, held: Option<&HeldList>) -> RequestBuilder {
        let request = self.client.get(&self.url);
        match held {
            Some(held) => request.header(IF_NONE_MATCH, &held.entity_tag),
            None => request,
        }
    }

    /// Reads a whole list and holds it, if it has an entity tag. A list that can't be read is not
    /// held: it must fail again and never be taken as unchanged.
    fn take_whole(&self, answer: Answer) -> Result<Vec<Machine>, MachineListError> {
        let machines = parse(&answer.body)?;
        *self.held() = answer.entity_tag.map(|entity_tag| HeldList {
            entity_tag,
            machines: machines.clone(),
        });
        Ok(machines)
    }
}

#[async_trait]
impl MachineList for MachinesHttp {
    async fn machines(&self) -> Result<Vec<Machine>, MachineListError> {
        // A copy: an answer that nothing changed belongs to the list that was asked about.
        let held = self.held().clone();
        let request = self.request(held.as_ref());
        let answer = call(request, self.limits).await.map_err(list_error)?;
        match (answer.status, held) {
            (OK, _) => self.take_whole(answer),
            (NOT_MODIFIED, Some(held)) => Ok(held.machines),
            _ => Err(MachineListError(answer.text())),
        }
    }
}

fn parse(body: &[u8]) -> Result<Vec<Machine>, MachineListError> {
    let groups: Vec<TargetGroup> = serde_json::from_slice(body)
        .map_err(|error| MachineListError(format!("the list cannot be read: {error}")))?;
    groups.iter().map(machine).collect()
}

fn list_error(error: CallError) -> MachineListError {
    match error {
        CallError::NotSent(text) | CallError::Unknown(text) => MachineListError(text),
    }
}

/// The machine of a group. A group that cannot be read fails the whole list: a machine that is left
/// out would count as gone for good.
fn machine(group: &TargetGroup) -> Result<Machine, MachineListError> {
    let [address] = group.targets.as_slice() else {
        let text = format!("a machine has {} addresses", group.targets.len());
        return Err(MachineListError(text));
    };
    let state = label(group, "state")?;
    Ok(Machine {
        name: name(label(group, "__meta_machine")?)?,
        zone: name(label(group, "zone")?)?,
        address: address.clone(),
        role: role(label(group, "role")?)?,
        leaving: match state {
            "live" => false,
            "leaving" => true,
            _ => return Err(MachineListError(format!("{state:?} is not a state"))),
        },
    })
}

fn label<'a>(group: &'a TargetGroup, label: &str) -> Result<&'a str, MachineListError> {
    let value = group.labels.get(label);
    value
        .map(String::as_str)
        .ok_or_else(|| MachineListError(format!("a machine has no label {label:?}")))
}

fn name<T>(text: &str) -> Result<T, MachineListError>
where
    T: std::str::FromStr,
    T::Err: std::fmt::Display,
{
    text.parse()
        .map_err(|error| MachineListError(format!("{text:?}: {error}")))
}

fn role(text: &str) -> Result<MachineRole, MachineListError> {
    if text == "engine" {
        return Ok(MachineRole::Engine);
    }
    match text.strip_prefix("service/") {
        Some(service) => Ok(MachineRole::Service(name(service)?)),
        None => Err(MachineListError(format!("{text:?} is not a role"))),
    }
}
