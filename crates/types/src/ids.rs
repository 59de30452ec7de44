//! Names and numbers by which things are known.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Longest name accepted, in bytes; the limit of a DNS label, which machine lists use as well.
pub const MAX_NAME_BYTES: usize = 63;

/// Why a text is not a valid name.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NameError {
    /// The name has no characters.
    #[error("a name must not be empty")]
    Empty,
    /// The name is longer than [`MAX_NAME_BYTES`].
    #[error("a name has at most {MAX_NAME_BYTES} bytes, this one has {0}")]
    TooLong(usize),
    /// The name has a character outside `a-z 0-9 - _ .`, or starts with a sign.
    #[error("character {character:?} at byte {position} is not allowed in a name")]
    BadCharacter {
        /// The character found.
        character: char,
        /// Its offset in bytes.
        position: usize,
    },
}

/// Checks a name: lower-case letters, digits, and `-`, `_`, `.` after the first character.
///
/// # Errors
/// Returns the first rule that the text breaks.
pub fn check_name(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong(text.len()));
    }
    let allowed = |position: usize, character: char| {
        character.is_ascii_lowercase()
            || character.is_ascii_digit()
            || (position > 0 && matches!(character, '-' | '_' | '.'))
    };
    match text
        .char_indices()
        .find(|&(position, character)| !allowed(position, character))
    {
        Some((position, character)) => Err(NameError::BadCharacter {
            character,
            position,
        }),
        None => Ok(()),
    }
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Makes a name from a text known to be valid, such as a literal.
            ///
            /// # Panics
            /// Panics if the text is not a valid name.
            pub fn literal(text: &str) -> Self {
                text.parse().expect("a literal name is valid")
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check_name(text)?;
                Ok(Self(Arc::from(text)))
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.pad(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Debug::fmt(&self.0, formatter)
            }
        }
    };
}

name_type!(
    /// A language model, as callers name it.
    ModelName
);
name_type!(
    /// One version (set of weights) of a model.
    VersionName
);
name_type!(
    /// A fine-tuned adapter that loads onto a model.
    AdapterName
);
name_type!(
    /// A plain service, answered by machines that run no model.
    ServiceName
);
name_type!(
    /// One failure domain; has its own daemons and runners.
    ZoneName
);
name_type!(
    /// One machine with a model engine or a plain service. Never reused for another machine.
    RunnerName
);
name_type!(
    /// One daemon of flaxward.
    DaemonName
);

/// What a caller asks for: `model[:adapter][@version]`.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ModelRef {
    /// The model.
    pub model: ModelName,
    /// The adapter, if the caller wants one.
    pub adapter: Option<AdapterName>,
    /// The version, or the model's serving version if not given.
    pub version: Option<VersionName>,
}

impl FromStr for ModelRef {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Self, NameError> {
        let (rest, version) = match text.split_once('@') {
            Some((rest, version)) => (rest, Some(version.parse()?)),
            None => (text, None),
        };
        let (model, adapter) = match rest.split_once(':') {
            Some((model, adapter)) => (model, Some(adapter.parse()?)),
            None => (rest, None),
        };
        Ok(Self {
            model: model.parse()?,
            adapter,
            version,
        })
    }
}

impl fmt::Display for ModelRef {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.model)?;
        if let Some(adapter) = &self.adapter {
            write!(formatter, ":{adapter}")?;
        }
        if let Some(version) = &self.version {
            write!(formatter, "@{version}")?;
        }
        Ok(())
    }
}

/// One thing that can be loaded: the base weights of a version, or an adapter on top of them.
///
/// Text form: `model@version` or `model:adapter@version`.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct ArtifactId {
    /// The model.
    pub model: ModelName,
    /// The version of the base weights.
    pub version: VersionName,
    /// The adapter, or `None` for the base weights themselves.
    pub adapter: Option<AdapterName>,
}

impl ArtifactId {
    /// The base weights that this artifact needs: itself, unless it is an adapter.
    #[must_use]
    pub fn base(&self) -> Self {
        Self {
            model: self.model.clone(),
            version: self.version.clone(),
            adapter: None,
        }
    }

    /// Whether this is an adapter.
    pub fn is_adapter(&self) -> bool {
        self.adapter.is_some()
    }
}

impl fmt::Display for ArtifactId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.adapter {
            Some(adapter) => write!(formatter, "{}:{}@{}", self.model, adapter, self.version),
            None => write!(formatter, "{}@{}", self.model, self.version),
        }
    }
}

impl fmt::Debug for ArtifactId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{self}")
    }
}

/// Why a text is not an artifact.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ArtifactError {
    /// A part of it is not a name.
    #[error(transparent)]
    Name(#[from] NameError),
    /// It names no version.
    #[error("an artifact is written model@version or model:adapter@version")]
    NoVersion,
}

impl FromStr for ArtifactId {
    type Err = ArtifactError;

    fn from_str(text: &str) -> Result<Self, ArtifactError> {
        let reference: ModelRef = text.parse()?;
        let version = reference.version.ok_or(ArtifactError::NoVersion)?;
        Ok(Self {
            model: reference.model,
            version,
            adapter: reference.adapter,
        })
    }
}

impl TryFrom<String> for ArtifactId {
    type Error = ArtifactError;

    fn try_from(text: String) -> Result<Self, ArtifactError> {
        text.parse()
    }
}

impl From<ArtifactId> for String {
    fn from(artifact: ArtifactId) -> Self {
        artifact.to_string()
    }
}

macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        pub struct $name(pub u64);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, formatter)
            }
        }

        impl $name {
            /// The number that follows this one.
            #[must_use]
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }
    };
}

number_type!(
    /// The term of a zone lease. Every order to a runner carries it as its fencing token.
    Term
);
number_type!(
    /// A revision of the object API: rises with every change of any object.
    Revision
);
number_type!(
    /// One start of a runner's engine; a restarted engine has another one.
    BootId
);

macro_rules! random_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(pub u128);

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{:032x}", self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{self}")
            }
        }

        impl FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                u128::from_str_radix(text, 16).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = std::num::ParseIntError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.to_string()
            }
        }
    };
}

random_id!(
    /// One order to a runner. Repeating an order with the same id has no further effect.
    OrderId
);
random_id!(
    /// One try to have a request answered by a back end.
    AttemptId
);
random_id!(
    /// One write to the object API, by which a write whose answer was lost is found again.
    OperationId
);
