//! Tables of the language and their fields.

/// The type of a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FieldKind {
    /// Arbitrary text.
    Text,
    /// One of a fixed set of words.
    State(&'static [&'static str]),
    /// A number.
    Number,
    /// A size in bytes.
    Size,
    /// A duration in milliseconds.
    Duration,
    /// True or false.
    Flag,
}

/// A field of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Field {
    /// Name of the field, in `where` clauses and in results.
    pub name: &'static str,
    /// Type of the field.
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

            /// Keyword of the table in the language.
            pub fn keyword(self) -> &'static str {
                match self { $( Self::$table => $word, )* }
            }

            /// Fields of the table, in display order.
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
    /// Models, their state and their queued requests.
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
    /// Machines that run a model engine or a plain service.
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
    /// Waiting and running requests.
    Requests "requests" {
        "id" Text, "model" Text, "daemon" Text, "zone" Text,
        "state" State(&["waiting", "running"]),
        "runner" Text, "priority" Number, "age" Duration, "time_left" Duration,
    }
    /// Zones and their coordinators.
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
    /// Distribution of the allowed copies among zones; one row per zone.
    Quotas "quotas" {
        "subject" Text, "zone" Text, "units" Number, "wanted" Number, "limit" Number,
        "version" Number,
    }
    /// Machines drained by operators.
    Drains "drains" { "name" Text, "reason" Text, "version" Number }
    /// The region's policy; one row, with version 0 until its first change.
    Policy "policy" {
        "cold_start_weight" Number, "weight_store_parallel" Number,
        "weight_store_per_second" Number, "keep_alive_min" Duration, "keep_alive_max" Duration,
        "version" Number,
    }
    /// Configuration revision in force at each daemon.
    Config "config" { "daemon" Text, "zone" Text, "revision" Number }
    /// Decisions recorded about a model; read by `explain`, newest first.
    Decisions "decisions" {
        "age" Duration, "zone" Text, "daemon" Text, "artifact" Text, "runner" Text,
        "decision" Text, "reason" Text,
    }
}

impl Table {
    /// Whether `show` can read the table; decisions are read by `explain`.
    pub fn is_shown(self) -> bool {
        self != Self::Decisions
    }

    /// Looks up a field by name.
    pub fn field(self, name: &str) -> Option<&'static Field> {
        self.fields().iter().find(|field| field.name == name)
    }
}
