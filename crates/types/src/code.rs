//! Numbered result codes, the only way flaxward says why something was not done.
//!
//! `docs/RESULT-CODES.md` has the same table for readers; a test holds the two together.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! result_codes {
    ($( $(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $not_run:ident, $text:literal; )*) => {
        /// A numbered result. Thousands tell the area: 1 caller's request, 2 capacity and time,
        /// 3 back ends, 4 repetition, 5 operators, 6 settings, 7 platform, 8 inside flaxward.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum ResultCode {
            $( $(#[$doc])* $name, )*
        }

        impl ResultCode {
            /// Every code, in the order of the table.
            pub const ALL: &'static [Self] = &[ $( Self::$name, )* ];

            /// The number, as shown to callers and operators.
            pub fn number(self) -> u16 {
                match self { $( Self::$name => $number, )* }
            }

            /// The HTTP status that goes with it.
            pub fn http_status(self) -> u16 {
                match self { $( Self::$name => $status, )* }
            }

            /// Whether a refusal with this code says that the request certainly did not run.
            pub fn not_run(self) -> bool {
                match self { $( Self::$name => NotRun::$not_run.is_certain(), )* }
            }

            /// One line of explanation.
            pub fn text(self) -> &'static str {
                match self { $( Self::$name => $text, )* }
            }
        }
    };
}

/// Whether a request with some result can have run.
enum NotRun {
    Certain,
    Unknown,
}

impl NotRun {
    fn is_certain(&self) -> bool {
        matches!(self, Self::Certain)
    }
}

result_codes! {
    /// The body is not valid JSON, or lacks a field.
    BadBody = 1001, 400, Certain, "the body is not a valid request";
    /// A header has a value that cannot be read.
    BadHeader = 1002, 400, Certain, "a header has a value that cannot be read";
    /// No model, adapter or version of that name is configured.
    UnknownModel = 1003, 404, Certain, "no such model, adapter or version";
    /// No service of that name is configured.
    UnknownService = 1004, 404, Certain, "no such service";
    /// The body is longer than the setting allows.
    BodyTooLong = 1005, 413, Certain, "the body is longer than allowed";
    /// The body did not arrive in time.
    SlowSender = 1006, 408, Certain, "the body did not arrive in time";
    /// The path or method is not served.
    UnknownPath = 1007, 404, Certain, "no such path or method";
    /// The headers are longer than the setting allows.
    HeadersTooLong = 1008, 431, Certain, "the headers are longer than allowed";

    /// No key, or one that belongs to no tenant.
    UnknownKey = 1009, 401, Certain, "no key that belongs to a tenant";

    /// The estimate of the wait passes the request's deadline.
    DeadlineTooShort = 2001, 503, Certain, "the model cannot be ready before the deadline";
    /// The waiting queue is full and this request ranks lowest.
    QueueFull = 2002, 503, Certain, "the waiting queue is full";
    /// The deadline passed while the request waited.
    DeadlinePassed = 2003, 504, Certain, "the deadline passed while the request waited";
    /// No runner that may hold the model has enough memory.
    NoMemory = 2004, 503, Certain, "no machine has enough free memory for the model";
    /// The rule for copies allows none, anywhere.
    NoQuota = 2005, 503, Certain, "the rule for copies allows no replica";
    /// Loading failed on every machine tried.
    LoadFailed = 2006, 503, Certain, "the model failed to load on every machine tried";
    /// No coordinator answers for the zones that may load the model.
    NoCoordinator = 2007, 503, Certain, "no zone that may load the model answers";
    /// This daemon is stopping and takes no new request.
    Stopping = 2008, 503, Certain, "this daemon is stopping";
    /// Too many requests are in progress at this daemon.
    Overloaded = 2009, 503, Certain, "this daemon has too many requests in progress, or no memory for the body";
    /// The service has no machine that takes new work.
    NoServiceMachine = 2010, 503, Certain, "no machine of the service takes new work";
    /// The model has no recorded slot and none can be recorded while the store is down.
    NoSlotInOutage = 2011, 503, Certain, "the store is down and no slot for the model is recorded";
    /// The requests of the tenant exceed its quota.
    QuotaExceeded = 2012, 429, Certain, "the requests of this tenant exceed its quota";
    /// The homes of route and tenant have no region in common, or no runner of the service that takes work is in one.
    NoHomeRunner = 2013, 503, Certain, "no runner may serve this request in its home regions";
    /// No runner that takes work has the software version that began the stream.
    NoRunnerOfVersion = 2014, 503, Certain, "no runner has the software version that began the stream";
    /// No daemon knows which software version began the stream, and the service has had several.
    StreamOriginUnknown = 2015, 503, Certain, "the software version that began the stream is not known";

    /// The back end broke off after the request was sent; it may have run.
    OutcomeUnknown = 3001, 502, Unknown, "the back end broke off; the request may have run";
    /// The back end refused before running.
    BackendRefused = 3002, 503, Certain, "the back end refused before running the request";
    /// The answer stream broke and could not be resumed.
    StreamBroken = 3003, 502, Unknown, "the answer broke off and could not be resumed";
    /// No connection to any back end could be made.
    BackendUnreachable = 3004, 503, Certain, "no back end could be reached";
    /// The deadline passed while the request ran.
    DeadlineWhileRunning = 3005, 504, Unknown, "the deadline passed while the request ran";
    /// The answer of the back end is malformed or truncated.
    BadAnswer = 3006, 502, Unknown, "the back end's answer is malformed or truncated";
    /// The retry budget is spent and the request was not sent again.
    RetryBudgetSpent = 3007, 503, Unknown, "the retry budget is spent";
    /// Runners have crashed under the same request before.
    RequestQuarantined = 3008, 503, Certain, "runners have crashed under this request, so it is not sent to any";

    /// A request with the same idempotency key is in progress.
    KeyInProgress = 4001, 409, Unknown, "a request with this key is in progress";
    /// The outcome of the request with this key is unknown; it is not run again.
    KeyOutcomeUnknown = 4002, 409, Unknown, "the outcome of the request with this key is unknown";
    /// The claim for the key could not be recorded, so the request was not run.
    ClaimNotRecorded = 4003, 503, Certain, "the key could not be recorded, so the request was not run";
    /// The key was used for another request.
    KeyReused = 4004, 422, Certain, "the key was used for a different request";
    /// The request with this key was answered, with an answer too long to keep.
    KeyAnswerNotKept = 4005, 409, Unknown, "the request with this key was answered; its answer was not kept";

    /// The command cannot be parsed.
    BadCommand = 5001, 400, Certain, "the command cannot be read";
    /// The object has changed since the version the command names.
    VersionConflict = 5002, 409, Certain, "the object has changed since the version named";
    /// The object does not exist.
    UnknownObject = 5003, 404, Certain, "no such object";
    /// The object exists already.
    ObjectExists = 5004, 409, Certain, "the object exists already";
    /// A value breaks a rule.
    InvalidValue = 5005, 422, Certain, "a value is not allowed";
    /// The change was sent and its outcome could not be found out.
    ChangeOutcomeUnknown = 5006, 502, Unknown, "the outcome of the change is unknown; read it back";
    /// Another object still refers to this one.
    StillReferenced = 5007, 409, Certain, "another object still refers to this one";

    /// A setting is not known.
    UnknownSetting = 6001, 400, Certain, "no such setting";
    /// A setting has a value that cannot be used.
    InvalidSetting = 6002, 400, Certain, "a setting has a value that cannot be used";
    /// A setting is missing.
    MissingSetting = 6003, 400, Certain, "a setting is missing";
    /// The settings file cannot be read.
    UnreadableSettings = 6004, 400, Certain, "the settings file cannot be read";

    /// The object API is down or too slow.
    StoreUnavailable = 7001, 503, Certain, "the object API does not answer";
    /// The machine list is down or too slow.
    MachineListUnavailable = 7002, 503, Certain, "the machine list does not answer";
    /// The daemon has no configuration yet.
    NoConfiguration = 7003, 503, Certain, "this daemon has no configuration yet";

    /// The daemon cannot tell which keys hold at present.
    KeysUnconfirmed = 7004, 503, Certain, "this daemon cannot tell which keys hold at present";
    /// The configuration contradicts itself; the version before stays in force.
    InvalidConfiguration = 7005, 503, Certain, "the configuration contradicts itself";

    /// A fault inside flaxward.
    Internal = 8001, 500, Unknown, "a fault inside flaxward";
    /// A daemon has sent what this build does not understand.
    PeerNotUnderstood = 8002, 500, Unknown, "a daemon has sent what this build does not understand";
}

impl fmt::Display for ResultCode {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} {}", self.number(), self.text())
    }
}
