//! The command `flaxward check-config`.

use std::process::ExitCode;

use clap::{Args, ValueEnum};

use crate::error::SettingsErrors;
use crate::flags::Flags;
use crate::ingress::IngressFile;
use crate::sections::Settings;

/// Exit status for settings that cannot be used.
const EXIT_INVALID: u8 = 2;

/// How faults are printed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, ValueEnum)]
pub enum ReportFormat {
    /// One line of text for each fault.
    #[default]
    Text,
    /// One JSON object a line for each fault.
    Json,
}

/// Arguments of `flaxward check-config`.
#[derive(Args, Clone, Debug, Default)]
pub struct CheckConfig {
    /// The settings.
    #[command(flatten)]
    pub flags: Flags,
    /// How faults are printed.
    #[arg(long, value_enum, default_value_t)]
    pub format: ReportFormat,
}

/// Reads the settings as a daemon would and prints every fault. Status 0 if there is none, else 2.
pub fn check_config(arguments: &CheckConfig) -> ExitCode {
    match check(&arguments.flags) {
        Ok(()) => {
            if arguments.format == ReportFormat::Text {
                println!("the settings are valid");
            }
            ExitCode::SUCCESS
        }
        Err(errors) => {
            match arguments.format {
                ReportFormat::Text => println!("{errors}"),
                ReportFormat::Json => println!("{}", errors.to_json_lines()),
            }
            ExitCode::from(EXIT_INVALID)
        }
    }
}

/// Checks whichever kind of file the flags name.
fn check(flags: &Flags) -> Result<(), SettingsErrors> {
    match &flags.config {
        Some(path) if IngressFile::is_meant_by(path) => {
            IngressFile::load(path).map_err(|error| SettingsErrors(vec![error]))?;
        }
        _ => {
            Settings::load(flags)?;
        }
    }
    Ok(())
}
