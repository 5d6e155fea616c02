//! Reads and validates the programs' settings and the operators' configuration files, and packs
//! configurations for publication.
//!
//! All faults of a file set are reported in one pass, each with file, line, key, problem and remedy.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod configuration;
mod diff;
mod document;
mod fault;
mod file;
mod file_set;
mod fleet_file;
mod node_options;
mod pack;
mod section;
mod service_file;
mod service_options;
mod settings;
mod settings_file;
mod stray_files;

pub use {
    configuration::{Configuration, FleetLimits, Policy, Route, Service, Upstream},
    diff::{Difference, diff},
    fault::{Fault, Faults},
    fleet_file::{check_directory, read_directory},
    node_options::{
        ChoiceOptions, ChoicePolicy, FleetOptions, HedgingOptions, LogOptions, NODE_OPTION_KEYS,
        NodeAdmissionOptions, NodeOptions, read_node_options,
    },
    pack::{PACKED_LIMIT_BYTES, PackError, Packed, pack, unpack},
    service_options::{AdmissionOptions, EjectionOptions, HedgeOptions, LoadOptions, RetryOptions},
    settings::{
        ControlSettings, EntrySettings, LocateSettings, LogFormat, LogLevel, LogSettings, MeshSettings,
        OperatorSettings, PlatformSettings, Settings, VmSettings,
    },
    settings_file::{SETTING_KEYS, read_settings},
};
