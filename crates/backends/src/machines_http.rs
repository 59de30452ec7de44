//! HTTP client of the machine list, in the format of Prometheus' HTTP service discovery.
//!
//! A list with an entity tag is re-read with a conditional request (RFC 9110, section 13.1.2). A
//! list without one is read in full every time.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use async_trait::async_trait;
use flaxward_types::engine::{Machine, MachineRole};
use reqwest::header::{HeaderValue, IF_NONE_MATCH};
use reqwest::{Client, RequestBuilder};
use serde::Deserialize;

use crate::http_client::{Answer, CallError, Timeouts, call, client, text_of};
use crate::machines::{MachineList, MachineListError};

const OK: u16 = 200;
const NOT_MODIFIED: u16 = 304;

/// Client of the machine list.
#[derive(Debug)]
pub struct MachinesHttp {
    client: Client,
    url: String,
    limits: Timeouts,
    cached: Mutex<Option<CachedList>>,
}

/// The list last read in full, with its entity tag.
#[derive(Clone, Debug)]
struct CachedList {
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
    /// Creates a client of the list at a URL such as `http://10.0.0.1:9000/machines`.
    ///
    /// # Errors
    /// Fails if the HTTP library cannot be set up.
    pub fn new(url: &str, limits: Timeouts) -> Result<Self, MachineListError> {
        let client = client(limits).map_err(|error| MachineListError(text_of(&error)))?;
        Ok(Self {
            client,
            url: url.to_owned(),
            limits,
            cached: Mutex::new(None),
        })
    }

    fn cached(&self) -> MutexGuard<'_, Option<CachedList>> {
        // The list is replaced in one step, so a panic elsewhere leaves it consistent.
        self.cached.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn request(&self, cached: Option<&CachedList>) -> RequestBuilder {
        let request = self.client.get(&self.url);
        match cached {
            Some(cached) => request.header(IF_NONE_MATCH, &cached.entity_tag),
            None => request,
        }
    }

    /// Parses a full list and caches it if it has an entity tag. A list that cannot be parsed is
    /// not cached: the next read must fail again and must not treat it as unchanged.
    fn parse_and_cache(&self, answer: Answer) -> Result<Vec<Machine>, MachineListError> {
        let machines = parse(&answer.body)?;
        *self.cached() = answer.entity_tag.map(|entity_tag| CachedList {
            entity_tag,
            machines: machines.clone(),
        });
        Ok(machines)
    }
}

#[async_trait]
impl MachineList for MachinesHttp {
    async fn machines(&self) -> Result<Vec<Machine>, MachineListError> {
        // A copy, since a 304 response refers to the list whose entity tag was sent.
        let cached = self.cached().clone();
        let request = self.request(cached.as_ref());
        let answer = call(request, self.limits).await.map_err(list_error)?;
        match (answer.status, cached) {
            (OK, _) => self.parse_and_cache(answer),
            (NOT_MODIFIED, Some(cached)) => Ok(cached.machines),
            _ => Err(MachineListError(answer.text())),
        }
    }
}

fn parse(body: &[u8]) -> Result<Vec<Machine>, MachineListError> {
    let groups: Vec<TargetGroup> = serde_json::from_slice(body)
        .map_err(|error| MachineListError(format!("cannot parse the machine list: {error}")))?;
    groups.iter().map(machine).collect()
}

fn list_error(error: CallError) -> MachineListError {
    match error {
        CallError::NotSent(text) | CallError::Unknown(text) => MachineListError(text),
    }
}

/// Parses the machine of a target group. An invalid group fails the whole list, since an omitted
/// machine would count as permanently removed.
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
