//! Settings of the programs and the operators' declarative files: reading, checking, packing.
//!
//! Every fault of a file set is found in one pass; each carries file, line, key, problem and remedy.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod configuration;
mod diff;
mod fault;
mod fleet_file;
mod node_options;
mod pack;
mod reader;
mod service_file;
mod settings;

pub use {
    configuration::{
        AdmissionOptions, Configuration, EjectionOptions, FleetLimits, HedgeOptions, LoadOptions, Policy,
        RetryOptions, Route, Service, Upstream,
    },
    diff::{Difference, diff},
    fault::{Fault, Faults},
    fleet_file::read_directory,
    node_options::{
        ChoiceOptions, ChoicePolicy, LineOptions, NODE_OPTION_KEYS, NodeAdmissionOptions, NodeOptions,
        RepeatOptions, read_node_options,
    },
    pack::{PACKED_LIMIT_BYTES, PackError, Packed, pack, unpack},
    settings::{
        ControlSettings, EntrySettings, LocateSettings, LogFormat, LogLevel, LogSettings, MeshSettings,
        OperatorSettings, PlatformSettings, SETTING_KEYS, Settings, VmSettings, read_settings,
    },
};
