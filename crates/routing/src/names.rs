//! Names of routes, services, models, adapters, zones, regions and runners.

pub use crate::runner_id::{RunnerId, RunnerStart};

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from text, without validation.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    };
}

name! {
    /// Name of a route.
    RouteName
}
name! {
    /// Name of a service: a group of interchangeable runners.
    ServiceName
}
name! {
    /// Version of the software of a runner. Versions have no order.
    SoftwareVersion
}
name! {
    /// Name of a tenant.
    TenantName
}
name! {
    /// Name of a model.
    ModelName
}
name! {
    /// Name of an adapter, unique within its model.
    AdapterName
}
name! {
    /// Name of a zone.
    Zone
}
name! {
    /// Name of a region: a group of zones that are close to each other.
    Region
}
name! {
    /// Name of a runner, which may stay the same across restarts; see [`RunnerId`].
    RunnerName
}

/// Unit of loading at a runner: a model, or one adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Unit {
    /// The service whose runners load it.
    pub service: ServiceName,
    /// The model.
    pub model: ModelName,
    /// The adapter, or `None` for the model itself.
    pub adapter: Option<AdapterName>,
}

impl Unit {
    /// The base model, without an adapter.
    #[must_use]
    pub fn base(&self) -> Self {
        Self {
            adapter: None,
            ..self.clone()
        }
    }
}

impl fmt::Display for Unit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.service, self.model)?;
        match &self.adapter {
            Some(adapter) => write!(formatter, "/{adapter}"),
            None => Ok(()),
        }
    }
}
