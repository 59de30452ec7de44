//! Counters and histograms of the ingress; `docs/METRICS.md` has the same table.

use flaxward_types::Metric;

/// Metrics of this crate.
pub const METRICS: [Metric; 45] = [
    SERVED,
    REFUSED,
    ATTEMPTS_FAILED,
    STREAMS_BROKEN,
    STREAMS_RESUMED,
    CONNECTIONS_OPENED,
    RUNNERS_EJECTED,
    ORDERS,
    STORE_CALLS_FAILED,
    MESSAGES_NOT_SENT,
    MESSAGES_MALFORMED,
    LEGACY_MESSAGES,
    MESSAGES_FORWARDED,
    UPDATES_WITH_GAPS,
    LOG_LINES_DROPPED,
    HEAD_SECONDS,
    PLAN_SECONDS,
    STREAMS_LATE,
    STORE_LOAD_SECONDS,
    STORE_LOADS_ALLOWED,
    CONFIGURATIONS_FROM_PEERS,
    QUOTA_UNITS,
    RUNNER_CRASHES,
    CRASHES_NOT_COUNTED,
    REQUESTS_QUARANTINED,
    SUSPENSIONS,
    STORE_CALLS,
    STORE_RESTORES,
    FOREIGN_REPORTS,
    ENTRIES_UNREADABLE,
    PERMITS,
    CAPACITY_WAITS,
    MESSAGE_BYTES,
    RUNNER_NOTICES,
    REJECTIONS,
    CONCURRENCY_PERMITS,
    RETRIES,
    STREAM_ORIGINS,
    STORED_ORIGINS,
    CONNECTIONS_RELAYED,
    PARTITIONS,
    TUNNELS,
    TUNNELS_REFUSED,
    DIRECT_PROBES,
    CONNECTIONS_GIVEN_UP,
];

/// Requests whose answer, or its head, was forwarded, by `status`, the class of the HTTP status.
pub const SERVED: Metric = Metric::counter(
    "flaxward_ingress_served_total",
    "Requests whose answer, or the head of it, was passed on, by `status`, the class of the HTTP status.",
);
/// Requests refused by the ingress, by `code`, the result code.
pub const REFUSED: Metric = Metric::counter(
    "flaxward_ingress_refused_total",
    "Requests refused by the ingress, by `code`, the result code.",
);
/// Attempts at runners that failed, by `failure` and `connection`.
pub const ATTEMPTS_FAILED: Metric = Metric::counter(
    "flaxward_ingress_attempts_failed_total",
    "Attempts at runners that came to no answer, by `failure` and `connection`: `new`, `reused`, or why none was established.",
);
/// Streams that a runner interrupted or left silent, including resumed ones.
pub const STREAMS_BROKEN: Metric = Metric::counter(
    "flaxward_ingress_streams_broken_total",
    "Streams that a runner broke off or left silent, resumed ones included.",
);
/// Streams resumed at another runner.
pub const STREAMS_RESUMED: Metric = Metric::counter(
    "flaxward_ingress_streams_resumed_total",
    "Streams that another runner went on with.",
);
/// Connections opened to runners.
pub const CONNECTIONS_OPENED: Metric = Metric::counter(
    "flaxward_ingress_connections_opened_total",
    "Connections opened to runners.",
);
/// Times that a runner was ejected for a while because it failed requests.
pub const RUNNERS_EJECTED: Metric = Metric::counter(
    "flaxward_ingress_runners_ejected_total",
    "Times that a runner was left alone for a while because it failed requests.",
);
/// Orders sent to runners while coordinating.
pub const ORDERS: Metric = Metric::counter(
    "flaxward_ingress_orders_total",
    "Orders sent to runners while coordinating.",
);
/// Reads of the store that failed.
pub const STORE_CALLS_FAILED: Metric = Metric::counter(
    "flaxward_ingress_store_calls_failed_total",
    "Reads of the store that failed.",
);
/// Messages to other daemons that the socket did not accept.
pub const MESSAGES_NOT_SENT: Metric = Metric::counter(
    "flaxward_ingress_messages_not_sent_total",
    "Messages to other daemons that the socket did not take.",
);
/// Messages of other daemons that could not be decoded.
pub const MESSAGES_MALFORMED: Metric = Metric::counter(
    "flaxward_ingress_messages_malformed_total",
    "Messages of other daemons that could not be decoded.",
);
/// Messages of legacy builds without message extensions. The count stays constant once all machines
/// run later builds.
pub const LEGACY_MESSAGES: Metric = Metric::counter(
    "flaxward_ingress_messages_of_earlier_builds_total",
    "Messages of daemons of builds that know of no parts behind messages.",
);
/// Messages relayed between two daemons that cannot reach each other.
pub const MESSAGES_FORWARDED: Metric = Metric::counter(
    "flaxward_ingress_messages_forwarded_total",
    "Messages that were passed on between two daemons that do not reach each other.",
);
/// Messages of standbys with changes of runners that depend on changes which this daemon has not
/// received.
pub const UPDATES_WITH_GAPS: Metric = Metric::counter(
    "flaxward_ingress_news_with_gaps_total",
    "Messages of standbys with changes of runners that follow others which this daemon does not know.",
);
/// Log lines dropped because too many came in one second.
pub const LOG_LINES_DROPPED: Metric = Metric::counter(
    "flaxward_ingress_log_lines_left_out_total",
    "Lines of the log left out because too many came in one second.",
);
/// Seconds from the arrival of a request to the head of its answer, or to the first event of a
/// stream.
pub const HEAD_SECONDS: Metric = Metric::histogram(
    "flaxward_ingress_head_seconds",
    "Seconds from the arrival of a request to the head of its answer, for a stream to its first event.",
);
/// Duration of a planning round of the coordinator, including its messages.
pub const PLAN_SECONDS: Metric = Metric::histogram(
    "flaxward_ingress_plan_seconds",
    "Time that the coordinator takes for a plan, its messages included.",
);
/// Streams with a pause between events that exceeded the route's target.
pub const STREAMS_LATE: Metric = Metric::counter(
    "flaxward_ingress_streams_late_total",
    "Streams with a pause between events that was longer than the route's target for it.",
);
/// Duration of loads from the weight store, as measured by the coordinator that ordered them.
pub const STORE_LOAD_SECONDS: Metric = Metric::histogram(
    "flaxward_ingress_store_load_seconds",
    "Time that loads from the weight store took, seen by the coordinator that ordered them.",
);
/// Allowed concurrent loads from the weight store, after each measured load.
pub const STORE_LOADS_ALLOWED: Metric = Metric::histogram(
    "flaxward_ingress_store_loads_allowed",
    "Loads from the weight store that may be in flight, after each that was measured.",
);
/// Configuration versions received from another daemon instead of the store.
pub const CONFIGURATIONS_FROM_PEERS: Metric = Metric::counter(
    "flaxward_ingress_configurations_from_peers_total",
    "Versions of the configuration that came from another daemon and not from the store.",
);
/// Quota units requested, by `tenant` and `outcome`: `admitted`, `refused`, or `returned` by
/// requests that did not run.
pub const QUOTA_UNITS: Metric = Metric::counter(
    "flaxward_ingress_quota_units_total",
    "Units of quotas asked for, by `tenant` and `outcome`: `admitted`, `refused`, or `returned` by requests that did not run.",
);
/// Requests of this daemon that had just started at a runner when it crashed.
pub const RUNNER_CRASHES: Metric = Metric::counter(
    "flaxward_ingress_runner_crashes_total",
    "Requests of this daemon that had just begun at a runner when it crashed.",
);
/// Crashes that this daemon observed and that did not count towards a quarantine.
pub const CRASHES_NOT_COUNTED: Metric = Metric::counter(
    "flaxward_ingress_crashes_not_counted_total",
    "Crashes under a request or a part of its prompt that do not count towards its quarantine, by `reason`.",
);
/// Requests that became known to this daemon as quarantined.
pub const REQUESTS_QUARANTINED: Metric = Metric::counter(
    "flaxward_ingress_requests_quarantined_total",
    "Requests that this daemon has learnt to be in quarantine.",
);
/// Detected suspensions of the machine.
pub const SUSPENSIONS: Metric = Metric::counter(
    "flaxward_ingress_suspensions_total",
    "Times that the machine was found to have been suspended.",
);
/// Completed calls to the store, by `call`, their purpose, and `outcome`.
pub const STORE_CALLS: Metric = Metric::counter(
    "flaxward_ingress_store_calls_total",
    "Calls to the store that have ended, by `call`, what it was for, and `outcome`.",
);
/// Detected restores of the store from a backup.
pub const STORE_RESTORES: Metric = Metric::counter(
    "flaxward_ingress_store_restores_total",
    "Times that the store was found to have come back from a copy.",
);
/// Reports from another incarnation of a runner than the one queried, which are ignored.
pub const FOREIGN_REPORTS: Metric = Metric::counter(
    "flaxward_ingress_foreign_reports_total",
    "Reports that came from another life of a runner than the one that was asked, and so count for nothing.",
);
/// Store objects that could not be decoded, by `kind`; each revision of one counts once.
pub const ENTRIES_UNREADABLE: Metric = Metric::counter(
    "flaxward_ingress_entries_unreadable_total",
    "Objects of the store that could not be read, by `kind`; each revision of one counts once.",
);
/// Permit questions for requests to cold runners, by `outcome`: `given`, `refused` or `unanswered`.
pub const PERMITS: Metric = Metric::counter(
    "flaxward_ingress_permits_total",
    "Requests to cold runners for which a permit was asked, by `outcome`: `given`, `refused` or `unanswered`.",
);
/// Streams that clients took up, by what is known of their beginning.
pub const STREAM_ORIGINS: Metric = Metric::counter(
    "flaxward_ingress_stream_origins_total",
    "Streams that clients took up, by `outcome`: the software version that began them was `recorded`, is the `only-version` of the service, or is `unknown`.",
);
/// Streams whose origins were written to the store.
pub const STORED_ORIGINS: Metric = Metric::counter(
    "flaxward_ingress_stored_origins_total",
    "Streams whose origins this daemon has written to the store.",
);
/// Waits of requests because all runners that hold their model were cold and at capacity.
pub const CAPACITY_WAITS: Metric = Metric::counter(
    "flaxward_ingress_room_waits_total",
    "Times that a request waited because all runners that hold its model were cold and had no room.",
);
/// Bytes of messages sent to other daemons, by `kind`, their subject.
pub const MESSAGE_BYTES: Metric = Metric::counter(
    "flaxward_ingress_message_bytes_total",
    "Bytes of messages sent to other daemons, by `kind`, what they are about.",
);
/// Answers with a new notice of their runner: that it is leaving, rests, or limits its rate.
pub const RUNNER_NOTICES: Metric = Metric::counter(
    "flaxward_ingress_runner_notices_total",
    "Times that an answer has told something new of its runner: that it leaves, rests, or takes a rate.",
);
/// Requests that runners have rejected, by `limit_known`.
pub const REJECTIONS: Metric = Metric::counter(
    "flaxward_ingress_rejections_total",
    "Requests that runners have rejected without running them, by `limit_known`: whether this daemon knew, when it sent them, how many the runner can reject in a second.",
);
/// Admissions of requests to runners as far as rejections are concerned, by `outcome`.
pub const CONCURRENCY_PERMITS: Metric = Metric::counter(
    "flaxward_ingress_concurrency_permits_total",
    "Permits asked for requests to brittle runners, by `outcome`: `given`, `refused`, `unanswered`, `own-share` or `no-keeper`.",
);
/// Retries asked of the retry budget, by `outcome`.
pub const RETRIES: Metric = Metric::counter(
    "flaxward_ingress_retries_total",
    "Retries asked of the retry budget, by `outcome`: granted or refused.",
);
/// Connections to runners that were opened through other daemons.
pub const CONNECTIONS_RELAYED: Metric = Metric::counter(
    "flaxward_ingress_connections_relayed_total",
    "Connections to runners that were opened through other daemons.",
);
/// Times that the daemon found itself partitioned from all runners.
pub const PARTITIONS: Metric = Metric::counter(
    "flaxward_ingress_partitions_total",
    "Times that the daemon found that it reaches no runner directly, while other daemons do.",
);
/// Tunnels to runners that were opened for other daemons.
pub const TUNNELS: Metric = Metric::counter(
    "flaxward_ingress_tunnels_total",
    "Tunnels to runners that were opened for other daemons.",
);
/// Tunnels that were not opened, by `status`, the HTTP status of the answer.
pub const TUNNELS_REFUSED: Metric = Metric::counter(
    "flaxward_ingress_tunnels_refused_total",
    "Tunnels asked for by other daemons that were not opened, by `status`, the HTTP status of the answer.",
);
/// Probes of lost paths to runners, by `outcome`.
pub const DIRECT_PROBES: Metric = Metric::counter(
    "flaxward_ingress_direct_probes_total",
    "Probes of direct paths to runners that were lost, by `outcome`.",
);
/// Client connections closed in favour of others.
pub const CONNECTIONS_GIVEN_UP: Metric = Metric::counter(
    "flaxward_ingress_connections_given_up_total",
    "Connections of stalled clients that were closed in favour of others: too many were open, or the memory for answers was used up.",
);
