//! Wire encoding of messages: a version byte, the message in postcard, and trailing extensions.
//!
//! Different builds run side by side during a rolling upgrade, so the encoding of a message never changes. Data added
//! by a later build goes into an extension after the message, with a tag and, for tags from 16 on, a length. Builds
//! that do not know a tag skip it, and every tag has a defined meaning when it is absent. The first builds ignore all
//! bytes after the message. `docs/design/upgrades.md` discusses the alternatives.
//!
//! Internally, revisions are ordered ones ([`StoreRevision::ordered`]), which include the store's era. Legacy builds,
//! from before eras were introduced, send and expect the store's own numbers. All daemons therefore send numbers that
//! legacy builds can use (in the first era known to a daemon these are the store's own numbers), plus an extension from
//! which era-aware builds restore the ordered revisions. A message without any extension comes from a legacy build.
//!
//! [`StoreRevision::ordered`]: crate::revision::StoreRevision::ordered

use thiserror::Error;

use crate::legacy_revisions::LegacyRevisions;
use crate::membership::MembershipUpdate;
use crate::messages::{Direction, KnownState, Message, StoreNews};
use crate::quarantine::RunContext;
use crate::revision::{EraStart, StoreEra};
use crate::software_versions::SoftwareVersions;

/// First byte of every message. Builds with different versions reject each other's messages.
pub const WIRE_VERSION: u8 = 7;
/// Tags below this one have no payload; from this one on, a length and that many bytes follow the tag.
const FIRST_TAG_WITH_PAYLOAD: u8 = 16;
/// Tag: the sender has not seen the store yet; revisions in the message are ordered revisions.
const STORE_UNKNOWN: u8 = 0;
/// Tag: the sender has seen the store in its first era, and revisions are numbered from that era.
const NUMBERED_FROM_FIRST_ERA: u8 = 1;
/// Tag: the sender lacks software versions of runners ([`KnownState::lacks_software_versions`]).
const LACKS_SOFTWARE_VERSIONS: u8 = 2;
/// Tag: the sender first saw the store in a later era, which is the payload.
const NUMBERED_FROM_ERA: u8 = 16;
/// Tag: the sender has observed the start of an era; the payload is [`LegacyRevisions`].
const NUMBERED_ACROSS_ERAS: u8 = 17;
/// Tag: the payload is the [`SoftwareVersions`] of runners and requirements in the message; without it, those of the
/// runners are unknown and the requirements allow any.
const SOFTWARE_VERSIONS: u8 = 18;

/// Tag: the payload is a [`RunContext`] or none for each of the reports in the message, in their order.
const RUN_CONTEXTS: u8 = 19;

/// Error in decoding a message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// The input is empty.
    #[error("empty message")]
    Empty,
    /// The wire version is not supported.
    #[error("unsupported wire version {0}, expected {WIRE_VERSION}")]
    Version(u8),
    /// The bytes are not valid postcard data for a message.
    #[error("cannot decode message: {0}")]
    Decode(#[from] postcard::Error),
}

/// Contents of the extensions known to this build.
#[derive(Clone, Debug, Default)]
struct Extensions {
    /// Mapping of the numbers in the message to ordered revisions; `None` if they already are ordered revisions, from a
    /// sender that has not seen the store yet.
    numbers: Option<LegacyRevisions>,
    software_versions: Option<SoftwareVersions>,
    lacks_software_versions: bool,
    run_contexts: Vec<Option<RunContext>>,
}

impl Extensions {
    /// Decodes the extensions after a message; `None` if there are none.
    fn read(mut bytes: &[u8]) -> Result<Option<Self>, MessageError> {
        if bytes.is_empty() {
            return Ok(None);
        }
        let mut extensions = Self::default();
        while let Some((&tag, rest)) = bytes.split_first() {
            let (payload, rest) = if tag < FIRST_TAG_WITH_PAYLOAD {
                (&[][..], rest)
            } else {
                postcard::take_from_bytes(rest)?
            };
            match tag {
                NUMBERED_FROM_FIRST_ERA => {
                    extensions.numbers = Some(LegacyRevisions::since(StoreEra::FIRST));
                }
                NUMBERED_FROM_ERA => {
                    let era: u64 = postcard::from_bytes(payload)?;
                    extensions.numbers = Some(LegacyRevisions::since(StoreEra::new(era)));
                }
                NUMBERED_ACROSS_ERAS => extensions.numbers = Some(postcard::from_bytes(payload)?),
                SOFTWARE_VERSIONS => {
                    extensions.software_versions = Some(postcard::from_bytes(payload)?);
                }
                RUN_CONTEXTS => extensions.run_contexts = postcard::from_bytes(payload)?,
                LACKS_SOFTWARE_VERSIONS => extensions.lacks_software_versions = true,
                // `STORE_UNKNOWN`, or an extension of a later build.
                _ => {}
            }
            bytes = rest;
        }
        Ok(Some(extensions))
    }
}

/// Appends the extension that describes how revisions in the message are numbered.
fn append_numbering(numbers: Option<&LegacyRevisions>, mut bytes: Vec<u8>) -> Vec<u8> {
    let (tag, payload) = match numbers {
        None => (STORE_UNKNOWN, None),
        Some(numbers) if numbers.has_later_eras() => {
            (NUMBERED_ACROSS_ERAS, Some(postcard::to_stdvec(numbers)))
        }
        Some(numbers) if numbers.first_era() == StoreEra::FIRST => (NUMBERED_FROM_FIRST_ERA, None),
        Some(numbers) => {
            let era = numbers.first_era();
            (NUMBERED_FROM_ERA, Some(postcard::to_stdvec(&era)))
        }
    };
    match payload {
        None => {
            bytes.push(tag);
            bytes
        }
        Some(payload) => {
            append_payload(tag, &payload.expect("extensions encode into memory"), bytes)
        }
    }
}

fn append_payload(tag: u8, payload: &Vec<u8>, mut bytes: Vec<u8>) -> Vec<u8> {
    bytes.push(tag);
    postcard::to_extend(payload, bytes).expect("extensions encode into memory")
}

/// Appends the extensions about software versions that the message needs.
fn append_software_versions(message: &Message, mut bytes: Vec<u8>) -> Vec<u8> {
    if message
        .known_state()
        .is_some_and(|known| known.lacks_software_versions)
    {
        bytes.push(LACKS_SOFTWARE_VERSIONS);
    }
    let versions = SoftwareVersions::of(message);
    if versions.is_empty() {
        return bytes;
    }
    let payload = postcard::to_stdvec(&versions).expect("extensions encode into memory");
    append_payload(SOFTWARE_VERSIONS, &payload, bytes)
}

/// Appends the extension with the contexts of reported runs.
fn append_run_contexts(message: &Message, bytes: Vec<u8>) -> Vec<u8> {
    let Message::RunReports(reports) = message else {
        return bytes;
    };
    let contexts: Vec<&Option<RunContext>> = reports.iter().map(|it| &it.context).collect();
    if contexts.iter().all(|it| it.is_none()) {
        return bytes;
    }
    let payload = postcard::to_stdvec(&contexts).expect("extensions encode into memory");
    append_payload(RUN_CONTEXTS, &payload, bytes)
}

/// A decoded message with the origin of its encoding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decoded {
    /// The message.
    pub message: Message,
    /// It has no extensions, so the sender runs a build from before extensions were introduced.
    pub is_from_earlier_build: bool,
}

/// Encodes and decodes messages, with the numbering of revisions known to this daemon.
#[derive(Clone, Debug, Default)]
pub struct Encoding {
    /// `None` until the era of the store is known.
    numbers: Option<LegacyRevisions>,
    /// Ordered revision up to which this daemon knows all changes.
    known_until: u64,
}

impl Encoding {
    /// Records the current era of the store and how it began for this daemon.
    pub fn note_era(&mut self, start: EraStart) {
        let first = LegacyRevisions::since(start.first.era);
        let numbers = self.numbers.get_or_insert(first);
        numbers.note_era(start);
    }

    /// Records the ordered revision up to which this daemon knows all changes.
    pub fn note_known(&mut self, revision: u64) {
        self.known_until = revision;
    }

    /// Encodes a message.
    ///
    /// # Panics
    /// Never: every message can be encoded into memory.
    pub fn encode(&self, message: &Message) -> Vec<u8> {
        let bytes = match &self.numbers {
            Some(numbers) if numbers.has_later_eras() || numbers.first_era() > StoreEra::FIRST => {
                let mut numbered = message.clone();
                numbered.map_revisions(|revision| numbers.number(revision));
                postcard::to_extend(&numbered, vec![WIRE_VERSION])
            }
            _ => postcard::to_extend(message, vec![WIRE_VERSION]),
        };
        let bytes = bytes.expect("messages encode into memory");
        let bytes = append_numbering(self.numbers.as_ref(), bytes);
        let bytes = append_software_versions(message, bytes);
        append_run_contexts(message, bytes)
    }

    /// Decodes a message, and merges the sender's numbering of revisions into that of this daemon.
    ///
    /// # Errors
    /// Fails if the bytes are not a message of this version.
    pub fn decode(&mut self, bytes: &[u8]) -> Result<Message, MessageError> {
        self.read(bytes).map(|decoded| decoded.message)
    }

    /// Like [`Encoding::decode`], and also reports whether the sender runs an earlier build.
    ///
    /// # Errors
    /// Fails if the bytes are not a message of this version.
    pub fn read(&mut self, bytes: &[u8]) -> Result<Decoded, MessageError> {
        let (&version, rest) = bytes.split_first().ok_or(MessageError::Empty)?;
        if version != WIRE_VERSION {
            return Err(MessageError::Version(version));
        }
        let (mut message, rest): (Message, &[u8]) = postcard::take_from_bytes(rest)?;
        let extensions = Extensions::read(rest)?;
        let is_from_earlier_build = extensions.is_none();
        match extensions {
            None => self.convert_legacy(&mut message),
            Some(extensions) => self.apply_extensions(extensions, &mut message),
        }
        Ok(Decoded {
            message,
            is_from_earlier_build,
        })
    }

    fn apply_extensions(&mut self, extensions: Extensions, message: &mut Message) {
        if let Some(theirs) = extensions.numbers {
            message.map_revisions(|number| theirs.revision(number));
            let first = LegacyRevisions::since(theirs.first_era());
            let own = self.numbers.get_or_insert(first);
            own.merge(&theirs);
        }
        if let Some(versions) = extensions.software_versions {
            versions.apply(message);
        }
        if let Message::RunReports(reports) = message {
            for (report, context) in reports.iter_mut().zip(extensions.run_contexts) {
                report.context = context;
            }
        }
        if let Some(known) = message.known_state_mut() {
            known.lacks_software_versions = extensions.lacks_software_versions;
        }
    }

    /// Converts the revisions in a message from a legacy build. The state that such a daemon reports as known mostly
    /// came from other daemons. What it reports about the store may come from the store itself, in an unstated era; it
    /// is taken as belonging to the first one.
    fn convert_legacy(&mut self, message: &mut Message) {
        let Some(numbers) = &mut self.numbers else {
            return;
        };
        if let Some(known) = message.known_revision() {
            numbers.raise_above(known, self.known_until);
            message.map_revisions(|number| numbers.revision(number));
        } else {
            let first = numbers.first_era().start();
            message.map_revisions(|number| number.saturating_add(first));
        }
    }
}

impl Message {
    /// State that the sender reports as known.
    fn known_state(&self) -> Option<&KnownState> {
        match self {
            Self::Usage(usage) => Some(&usage.known),
            Self::Waiting(notice) => Some(&notice.known),
            _ => None,
        }
    }

    fn known_state_mut(&mut self) -> Option<&mut KnownState> {
        match self {
            Self::Usage(usage) => Some(&mut usage.known),
            Self::Waiting(notice) => Some(&mut notice.known),
            _ => None,
        }
    }

    /// Revision up to which the sender reports that it knows all changes.
    fn known_revision(&self) -> Option<u64> {
        self.known_state().map(|known| known.runners_revision)
    }

    /// Maps all store revisions in the message, except 0, which means none.
    fn map_revisions(&mut self, map: impl Fn(u64) -> u64) {
        let replace = |revision: &mut u64| {
            if *revision > 0 {
                *revision = map(*revision);
            }
        };
        match self {
            Self::Usage(usage) => replace(&mut usage.known.runners_revision),
            Self::Waiting(notice) => replace(&mut notice.known.runners_revision),
            Self::Direction(direction) => {
                let Direction {
                    store,
                    evacuations,
                    membership,
                    ..
                } = &mut **direction;
                replace(&mut store.membership_revision);
                replace(&mut evacuations.revision);
                replace_in_update(membership.as_mut(), &replace);
            }
            Self::StoreNews(news) => {
                let StoreNews {
                    state,
                    evacuations,
                    membership,
                    ..
                } = news;
                replace(&mut state.membership_revision);
                replace(&mut evacuations.revision);
                replace_in_update(membership.as_mut(), &replace);
            }
            Self::LeaseEnded { .. }
            | Self::UseReport(_)
            | Self::QuotaNews(_)
            | Self::QuotaQuestions(_)
            | Self::QuotaAnswers(_)
            | Self::ConfigurationWanted(_)
            | Self::ConfigurationChunk(_)
            | Self::HoldingsSummary(_)
            | Self::RunReports(_)
            | Self::QuarantineNews(_)
            | Self::Forwarded(_)
            | Self::PermitQuestions(_)
            | Self::PermitAnswers(_)
            | Self::RunnerNotices(_)
            | Self::StreamOrigins(_)
            | Self::OriginQuestions(_)
            | Self::OriginAnswers(_)
            | Self::RunnersDown(_)
            | Self::ConcurrencyQuestions(_)
            | Self::ConcurrencyAnswers(_)
            | Self::ConcurrencyReport(_)
            | Self::RejectionLimits(_) => {}
        }
    }
}

fn replace_in_update(update: Option<&mut MembershipUpdate>, replace: &impl Fn(&mut u64)) {
    let Some(update) = update else { return };
    replace(&mut update.after);
    replace(&mut update.until);
    for change in &mut update.changes {
        replace(&mut change.revision);
    }
}
