//! The ways of choosing that are compared.

use clap::ValueEnum;

/// Further lines of the service's rules, to try settings other than the defaults.
#[derive(Clone, Debug, clap::Args)]
pub struct Trial {
    /// Lines for `[load]`, separated by `;`.
    #[arg(long, default_value = "")]
    load_rules: String,
    /// Lines for `[admission]`, separated by `;`.
    #[arg(long, default_value = "")]
    admission_rules: String,
    /// Lines for `[hedge]`, separated by `;`.
    #[arg(long, default_value = "")]
    hedge_rules: String,
}

fn lines(rules: &str) -> String {
    rules.split(';').map(|line| format!("{line}\n")).collect()
}

/// A way of choosing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Way {
    /// One queue over all slots, at one entry VM; the limit without hedges.
    Central,
    /// Any upstream.
    Random,
    /// Each in turn.
    RoundRobin,
    /// The fewest own requests.
    LocalLeast,
    /// The better of two by own requests.
    LocalTwo,
    /// Load of all entry VMs from reports in answers, passed between them.
    Shared,
    /// `Shared` with hedges: what ships as the default.
    Hedged,
}

impl Way {
    /// The way's name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Central => "central queue",
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::LocalLeast => "local least",
            Self::LocalTwo => "local two choices",
            Self::Shared => "shared, reports",
            Self::Hedged => "shared, hedged",
        }
    }

    /// The lines of the service's file.
    pub fn rules(self, trial: &Trial) -> String {
        let (policy, load, admission, hedge) = match self {
            Self::Central => (
                "shared",
                "choices = 16\nuse_reports = false\n",
                "queue_share = 0\nwait_max_ms = 5000\nqueue_max = 100000\n",
                0.0,
            ),
            Self::Random => ("random", "", "", 0.0),
            Self::RoundRobin => ("round-robin", "", "", 0.0),
            Self::LocalLeast => ("local-least", "", "", 0.0),
            Self::LocalTwo => ("local-two-choices", "", "", 0.0),
            Self::Shared => ("shared", "", "", 0.0),
            Self::Hedged => ("shared", "", "", 0.1),
        };
        let tried = matches!(self, Self::Shared | Self::Hedged);
        let lines = |rules: &str| if tried { lines(rules) } else { String::new() };
        format!(
            "policy = \"{policy}\"\n\n[load]\n{load}{}\n[admission]\n{admission}{}\n[hedge]\nbudget_share = {hedge}\n{}",
            lines(&trial.load_rules),
            lines(&trial.admission_rules),
            lines(&trial.hedge_rules),
        )
    }
}
