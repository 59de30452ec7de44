//! Messages as bytes: a version, the message in postcard, and numbered parts behind it.
//!
//! Builds run side by side while machines are replaced, so the bytes of a message never change. What a later build has to
//! say besides stands in a part of its own behind the message, with a number and, from 16 on, a length: builds that do not know
//! the number pass over it, and each number has a stated meaning where it is missing. The first builds read nothing behind a
//! message. `docs/design/upgrades.md` tells what was weighed.
//!
//! Daemons know revisions as ordered ones ([`StoreRevision::ordered`]), which hold the store's era. Builds before those
//! that know of eras send and expect the store's own numbers. So all daemons send numbers that such builds can use (the
//! first era in which a daemon has known the store has the store's own), and a part from which builds that know of eras
//! read the revisions again. A message without any part is from one of those before.
//!
//! [`StoreRevision::ordered`]: crate::revision::StoreRevision::ordered

use thiserror::Error;

use crate::earlier_numbers::EarlierNumbers;
use crate::membership::MembershipUpdate;
use crate::messages::{Direction, Message, StoreNews};
use crate::revision::{EraStart, StoreEra};

/// First byte of every message. Builds with another one hear nothing of each other.
pub const WIRE_VERSION: u8 = 7;
/// Numbers below this one stand alone; from it on, a length and as many bytes follow.
const FIRST_PART_WITH_CONTENT: u8 = 16;
/// Part of a sender that has not known the store: revisions are ordered ones as they stand.
const STORE_UNKNOWN: u8 = 0;
/// Part of a sender that has known the store in its first era, from which revisions are counted.
const COUNTED_FROM_FIRST: u8 = 1;
/// Part of a sender that has known the store since a later era; it holds the era.
const COUNTED_FROM_ERA: u8 = 16;
/// Part of a sender that has seen an era begin; it holds [`EarlierNumbers`].
const COUNTED_OVER_ERAS: u8 = 17;

/// Why bytes are not a message.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum MessageError {
    /// No bytes.
    #[error("the message is empty")]
    Empty,
    /// Another version of the encoding.
    #[error("the message has wire version {0}, and this build reads {WIRE_VERSION}")]
    Version(u8),
    /// The bytes do not decode.
    #[error("the message cannot be decoded: {0}")]
    Decode(#[from] postcard::Error),
}

/// What the parts behind a message say that this build knows.
#[derive(Clone, Debug, Default)]
struct Parts {
    /// What the numbers in the message stand for; `None` if they are ordered revisions, of a sender that has not known the
    /// store.
    numbers: Option<EarlierNumbers>,
}

impl Parts {
    /// Reads the parts behind a message; `None` if there are none.
    fn read(mut bytes: &[u8]) -> Result<Option<Self>, MessageError> {
        if bytes.is_empty() {
            return Ok(None);
        }
        let mut parts = Self::default();
        while let Some((&number, rest)) = bytes.split_first() {
            let (content, rest) = if number < FIRST_PART_WITH_CONTENT {
                (&[][..], rest)
            } else {
                postcard::take_from_bytes(rest)?
            };
            match number {
                COUNTED_FROM_FIRST => {
                    parts.numbers = Some(EarlierNumbers::since(StoreEra::FIRST));
                }
                COUNTED_FROM_ERA => {
                    let era: u64 = postcard::from_bytes(content)?;
                    parts.numbers = Some(EarlierNumbers::since(StoreEra::new(era)));
                }
                COUNTED_OVER_ERAS => parts.numbers = Some(postcard::from_bytes(content)?),
                // That it is unknown, or a part of a later build.
                _ => {}
            }
            bytes = rest;
        }
        Ok(Some(parts))
    }
}

/// Appends the part that tells what the numbers in a message stand for.
fn append_numbers(numbers: Option<&EarlierNumbers>, mut bytes: Vec<u8>) -> Vec<u8> {
    let (number, content) = match numbers {
        None => (STORE_UNKNOWN, None),
        Some(numbers) if numbers.has_later() => {
            (COUNTED_OVER_ERAS, Some(postcard::to_stdvec(numbers)))
        }
        Some(numbers) if numbers.first_era() == StoreEra::FIRST => (COUNTED_FROM_FIRST, None),
        Some(numbers) => {
            let era = numbers.first_era();
            (COUNTED_FROM_ERA, Some(postcard::to_stdvec(&era)))
        }
    };
    bytes.push(number);
    let Some(content) = content else {
        return bytes;
    };
    let content = content.expect("parts encode into memory");
    postcard::to_extend(&content, bytes).expect("parts encode into memory")
}

/// A message as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decoded {
    /// The message.
    pub message: Message,
    /// Nothing stands behind it: its sender is of a build that knows of no parts.
    pub is_from_earlier_build: bool,
}

/// Turns messages into bytes and back, as a daemon does that has known the store from an era on.
#[derive(Clone, Debug, Default)]
pub struct Encoding {
    /// `None` before the store is known.
    numbers: Option<EarlierNumbers>,
    /// The ordered revision up to which this daemon knows all changes.
    known_until: u64,
}

impl Encoding {
    /// The store is in an era, which began so for this daemon.
    pub fn note_era(&mut self, start: EraStart) {
        let first = EarlierNumbers::since(start.first.era);
        let numbers = self.numbers.get_or_insert(first);
        numbers.note_era(start);
    }

    /// This daemon knows all changes up to an ordered revision.
    pub fn note_known(&mut self, revision: u64) {
        self.known_until = revision;
    }

    /// Encodes a message.
    ///
    /// # Panics
    /// Never: every message can be encoded into memory.
    pub fn encode(&self, message: &Message) -> Vec<u8> {
        let bytes = match &self.numbers {
            Some(numbers) if numbers.has_later() || numbers.first_era() > StoreEra::FIRST => {
                let mut numbered = message.clone();
                numbered.map_revisions(|revision| numbers.number(revision));
                postcard::to_extend(&numbered, vec![WIRE_VERSION])
            }
            _ => postcard::to_extend(message, vec![WIRE_VERSION]),
        };
        let bytes = bytes.expect("messages encode into memory");
        append_numbers(self.numbers.as_ref(), bytes)
    }

    /// Decodes a message, and takes over from its sender how numbers go on over eras.
    ///
    /// # Errors
    /// Fails if the bytes are not a message of this version.
    pub fn decode(&mut self, bytes: &[u8]) -> Result<Message, MessageError> {
        self.read(bytes).map(|decoded| decoded.message)
    }

    /// The same, with what shows of the sender's build.
    ///
    /// # Errors
    /// Fails if the bytes are not a message of this version.
    pub fn read(&mut self, bytes: &[u8]) -> Result<Decoded, MessageError> {
        let (&version, rest) = bytes.split_first().ok_or(MessageError::Empty)?;
        if version != WIRE_VERSION {
            return Err(MessageError::Version(version));
        }
        let (mut message, rest): (Message, &[u8]) = postcard::take_from_bytes(rest)?;
        let parts = Parts::read(rest)?;
        let is_from_earlier_build = parts.is_none();
        match parts {
            None => self.read_earlier(&mut message),
            Some(Parts { numbers: None }) => {}
            Some(Parts {
                numbers: Some(theirs),
            }) => {
                message.map_revisions(|number| theirs.revision(number));
                let first = EarlierNumbers::since(theirs.first_era());
                let own = self.numbers.get_or_insert(first);
                own.take_over(&theirs);
            }
        }
        Ok(Decoded {
            message,
            is_from_earlier_build,
        })
    }

    /// Reads a message of a build before. What such a daemon knows it has mostly been told by others. What it tells of the
    /// store may come from the store itself, in an era that is not told: it counts as of the first one.
    fn read_earlier(&mut self, message: &mut Message) {
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
    /// The revision up to which the sender says that it knows all changes.
    fn known_revision(&self) -> Option<u64> {
        match self {
            Self::Usage(usage) => Some(usage.known.runners_revision),
            Self::Waiting(notice) => Some(notice.known.runners_revision),
            _ => None,
        }
    }

    /// Replaces all revisions of the store in it, but for 0, which stands for none.
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
                replace_in(membership.as_mut(), &replace);
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
                replace_in(membership.as_mut(), &replace);
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
            | Self::RunnerNotices(_) => {}
        }
    }
}

fn replace_in(update: Option<&mut MembershipUpdate>, replace: &impl Fn(&mut u64)) {
    let Some(update) = update else { return };
    replace(&mut update.after);
    replace(&mut update.until);
    for change in &mut update.changes {
        replace(&mut change.revision);
    }
}
