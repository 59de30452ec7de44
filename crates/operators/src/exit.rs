//! Exit codes of `flaxward query`; `docs/OPERATORS.md` has the table.

use flaxward_types::ResultCode;

/// Every command succeeded.
pub const EXIT_OK: u8 = 0;

/// Any other failure.
const EXIT_FAILURE: u8 = 1;

/// The command cannot be parsed, or a value is not allowed.
const EXIT_BAD_COMMAND: u8 = 2;

/// The change conflicts with the stored state: version mismatch, existing object or reference.
const EXIT_CONFLICT: u8 = 3;

/// The object does not exist.
const EXIT_NOT_FOUND: u8 = 4;

/// The daemon or the object API does not respond, or the outcome is unknown.
const EXIT_UNAVAILABLE: u8 = 5;

/// Maps a result code to the process exit code.
pub fn exit_code(code: ResultCode) -> u8 {
    match code {
        ResultCode::BadCommand
        | ResultCode::InvalidValue
        | ResultCode::BadBody
        | ResultCode::BodyTooLong => EXIT_BAD_COMMAND,
        ResultCode::VersionConflict | ResultCode::ObjectExists | ResultCode::StillReferenced => {
            EXIT_CONFLICT
        }
        ResultCode::UnknownObject | ResultCode::UnknownModel | ResultCode::UnknownService => {
            EXIT_NOT_FOUND
        }
        ResultCode::ChangeOutcomeUnknown
        | ResultCode::StoreUnavailable
        | ResultCode::MachineListUnavailable
        | ResultCode::NoConfiguration
        | ResultCode::NoCoordinator
        | ResultCode::BackendUnreachable
        | ResultCode::Stopping
        | ResultCode::Overloaded => EXIT_UNAVAILABLE,
        _ => EXIT_FAILURE,
    }
}
