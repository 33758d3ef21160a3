//! The arguments of `stepspur bench`.

/// What is measured.
#[derive(Debug, clap::Args)]
pub(crate) struct BenchArgs {
    /// Servers that the list names.
    #[arg(long, default_value_t = 379)]
    pub servers: usize,
    /// Proxies' streams.
    #[arg(long, default_value_t = 1249)]
    pub proxies: usize,
    /// Drains, and writes of the bare limit, one after the other.
    #[arg(long, default_value_t = 30)]
    pub rounds: usize,
    /// Orders a second, in lines; large enough to be out of the way unless told otherwise.
    #[arg(long, default_value_t = 1e9)]
    pub lines_per_s: f64,
    /// Instead: proxies join and leave for so many seconds, one in twenty reads nothing; memory is watched.
    #[arg(long)]
    pub churn: Option<u64>,
    /// Instead: joins over plain TCP, mutual TLS from cold, resumed, and under a flood of strangers.
    #[arg(long)]
    pub joins: bool,
    /// Instead: the bare server model on one core, and the memory of a server.
    #[arg(long)]
    pub model: bool,
    /// Print as JSON.
    #[arg(long)]
    pub json: bool,
    /// The limit's own process: writes so many bytes to so many sockets whenever a line comes on standard input.
    #[arg(long, hide = true)]
    pub bare_writer: Option<usize>,
}
