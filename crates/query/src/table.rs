//! The tables that `show` reads and their fields.

/// What a field holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldKind {
    /// Any text.
    Text,
    /// One of some words.
    State(&'static [&'static str]),
    /// A number.
    Number,
    /// A size in bytes.
    Size,
    /// A time in milliseconds.
    Duration,
    /// True or false.
    Flag,
}

/// A field of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Field {
    /// Its name, as in a `where` clause and in the answer.
    pub name: &'static str,
    /// What it holds.
    pub kind: FieldKind,
}

macro_rules! tables {
    ($( $(#[$doc:meta])* $table:ident $word:literal { $( $field:literal $kind:expr ),* $(,)? } )*) => {
        /// A table.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Table {
            $( $(#[$doc])* $table, )*
        }

        impl Table {
            /// Every table.
            pub const ALL: &'static [Self] = &[ $( Self::$table, )* ];

            /// Its name in the language.
            pub fn word(self) -> &'static str {
                match self { $( Self::$table => $word, )* }
            }

            /// Its fields, in the order shown.
            pub fn fields(self) -> &'static [Field] {
                use FieldKind::{Duration, Flag, Number, Size, State, Text};
                match self {
                    $( Self::$table => &[ $( Field { name: $field, kind: $kind }, )* ], )*
                }
            }
        }
    };
}

tables! {
    /// Models, their state and what waits for them.
    Models "models" {
        "name" Text, "state" State(&["ready", "loading", "waiting", "idle", "failing"]),
        "serving" Text, "ready" Number, "loading" Number, "at_least" Number, "at_most" Number,
        "zones" Text, "waiting" Number, "running" Number, "priority" Number,
        "queue_limit" Number, "version" Number,
    }
    /// Replicas on runners.
    Replicas "replicas" {
        "model" Text, "adapter" Text, "release" Text, "zone" Text, "runner" Text,
        "state" State(&["loading", "ready", "unloading", "failed"]),
        "memory" Size, "outstanding" Number,
    }
    /// Machines with a model engine or a plain service.
    Runners "runners" {
        "name" Text, "zone" Text, "address" Text, "service" Text,
        "state" State(&["ready", "leaving", "drained", "unreachable"]),
        "memory" Size, "used" Size, "replicas" Number, "running" Number, "waiting" Number,
    }
    /// Daemons of flaxward.
    Daemons "daemons" {
        "name" Text, "zone" Text, "address" Text,
        "state" State(&["alive", "suspect", "left", "dead"]),
        "coordinator" Flag, "requests" Number, "revision" Number,
    }
    /// Requests that wait or run.
    Requests "requests" {
        "id" Text, "model" Text, "daemon" Text, "zone" Text,
        "state" State(&["waiting", "running"]),
        "runner" Text, "priority" Number, "age" Duration, "time_left" Duration,
    }
    /// Zones and who coordinates them.
    Zones "zones" {
        "name" Text, "coordinator" Text, "term" Number, "daemons" Number, "runners" Number,
        "memory" Size, "used" Size,
    }
    /// Adapters.
    Adapters "adapters" {
        "model" Text, "name" Text, "checkpoint" Text, "weights" Size, "at_most" Number,
        "ready" Number, "version" Number,
    }
    /// Versions of models.
    Versions "versions" {
        "model" Text, "name" Text, "checkpoint" Text, "weights" Size, "kv" Size,
        "serving" Flag, "ready" Number, "version" Number,
    }
    /// Plain services.
    Services "services" {
        "name" Text, "concurrency" Number, "machines" Number, "running" Number, "version" Number,
    }
    /// How the copies allowed are split among zones; a row for each zone.
    Quotas "quotas" {
        "subject" Text, "zone" Text, "units" Number, "wanted" Number, "limit" Number,
        "version" Number,
    }
    /// Machines that operators have drained.
    Drains "drains" { "name" Text, "reason" Text, "version" Number }
    /// The region's policy; one row, with version 0 while it has never been changed.
    Policy "policy" {
        "cold_start_weight" Number, "weight_store_parallel" Number,
        "weight_store_per_second" Number, "keep_alive_min" Duration, "keep_alive_max" Duration,
        "version" Number,
    }
    /// Which revision of the configuration is in force at which daemon.
    Config "config" { "daemon" Text, "zone" Text, "revision" Number }
    /// Decisions recorded about a model; read by `explain`, newest first.
    Decisions "decisions" {
        "age" Duration, "zone" Text, "daemon" Text, "artifact" Text, "runner" Text,
        "decision" Text, "reason" Text,
    }
}

impl Table {
    /// Whether `show` reads it; decisions are read by `explain`.
    pub fn is_shown(self) -> bool {
        self != Self::Decisions
    }

    /// A field by its name.
    pub fn field(self, name: &str) -> Option<&'static Field> {
        self.fields().iter().find(|field| field.name == name)
    }
}
