//! Software versions of the runners and requirements in a message, sent in an extension of [`crate::encoding`].

use serde::{Deserialize, Serialize};

use crate::homes::Requirement;
use crate::membership::{MembershipUpdate, RunnerSummary};
use crate::messages::Message;
use crate::names::SoftwareVersion;

/// Index of a version that is unknown, or of none; other indices are positions in the list of names plus one.
const NO_VERSION: u8 = 0;

/// The software versions in a message. There are few different ones, so each place holds an index.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct SoftwareVersions {
    names: Vec<SoftwareVersion>,
    /// Indices for the runner summaries, in the order of the message.
    summaries: Vec<u8>,
    /// Indices for the requirements, in the order of the message.
    requirements: Vec<u8>,
}

impl SoftwareVersions {
    /// The versions in a message.
    pub(crate) fn of(message: &Message) -> Self {
        let mut versions = Self::default();
        for summary in summaries(message) {
            let index = versions.index(summary.software_version.as_ref());
            versions.summaries.push(index);
        }
        for requirement in requirements(message) {
            let index = versions.index(requirement.software_version.as_ref());
            versions.requirements.push(index);
        }
        versions
    }

    /// Whether the message holds none.
    pub(crate) fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Sets the versions in a received message.
    pub(crate) fn apply(&self, message: &mut Message) {
        for (summary, index) in summaries_mut(message).zip(&self.summaries) {
            summary.software_version = self.name(*index);
        }
        for (requirement, index) in requirements_mut(message)
            .into_iter()
            .zip(&self.requirements)
        {
            requirement.software_version = self.name(*index);
        }
    }

    /// Index of a version, which is added if it is new. Versions beyond the range of the index count as unknown.
    fn index(&mut self, version: Option<&SoftwareVersion>) -> u8 {
        let Some(version) = version else {
            return NO_VERSION;
        };
        let position = self.names.iter().position(|name| name == version);
        let position = position.unwrap_or(self.names.len());
        let Ok(index) = u8::try_from(position + 1) else {
            return NO_VERSION;
        };
        if position == self.names.len() {
            self.names.push(version.clone());
        }
        index
    }

    fn name(&self, index: u8) -> Option<SoftwareVersion> {
        let position = usize::from(index).checked_sub(1)?;
        self.names.get(position).cloned()
    }
}

fn membership(message: &Message) -> Option<&MembershipUpdate> {
    match message {
        Message::Direction(direction) => direction.membership.as_ref(),
        Message::StoreNews(news) => news.membership.as_ref(),
        _ => None,
    }
}

fn membership_mut(message: &mut Message) -> Option<&mut MembershipUpdate> {
    match message {
        Message::Direction(direction) => direction.membership.as_mut(),
        Message::StoreNews(news) => news.membership.as_mut(),
        _ => None,
    }
}

fn summaries(message: &Message) -> impl Iterator<Item = &RunnerSummary> {
    let changes = membership(message).into_iter().flat_map(|it| &it.changes);
    changes.filter_map(|change| change.summary.as_ref())
}

fn summaries_mut(message: &mut Message) -> impl Iterator<Item = &mut RunnerSummary> {
    let update = membership_mut(message).into_iter();
    let changes = update.flat_map(|it| &mut it.changes);
    changes.filter_map(|change| change.summary.as_mut())
}

fn requirements(message: &Message) -> Vec<&Requirement> {
    match message {
        Message::Usage(usage) => {
            let waiting = usage.waiting.iter().map(|it| &it.requirement);
            waiting
                .chain(usage.used.iter().map(|it| &it.requirement))
                .collect()
        }
        Message::Waiting(notice) => notice.waiting.iter().map(|it| &it.requirement).collect(),
        Message::Direction(direction) => direction
            .outlooks
            .iter()
            .map(|it| &it.requirement)
            .collect(),
        _ => Vec::new(),
    }
}

fn requirements_mut(message: &mut Message) -> Vec<&mut Requirement> {
    match message {
        Message::Usage(usage) => {
            let waiting = usage.waiting.iter_mut().map(|it| &mut it.requirement);
            let used = usage.used.iter_mut().map(|it| &mut it.requirement);
            waiting.chain(used).collect()
        }
        Message::Waiting(notice) => {
            let waiting = notice.waiting.iter_mut();
            waiting.map(|it| &mut it.requirement).collect()
        }
        Message::Direction(direction) => {
            let outlooks = direction.outlooks.iter_mut();
            outlooks.map(|it| &mut it.requirement).collect()
        }
        _ => Vec::new(),
    }
}
