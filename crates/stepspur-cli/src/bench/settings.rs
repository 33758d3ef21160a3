//! Command-line arguments of `stepspur bench`.

/// Arguments of `stepspur bench`.
#[derive(Debug, clap::Args)]
pub(crate) struct BenchArgs {
    /// Number of servers in the list.
    #[arg(long, default_value_t = 379)]
    pub servers: usize,
    /// Number of proxies.
    #[arg(long, default_value_t = 1249)]
    pub proxies: usize,
    /// Number of rounds of drains, and of bare writes.
    #[arg(long, default_value_t = 30)]
    pub rounds: usize,
    /// The conductor's limit of order lines per second; the default is too high to have an effect.
    #[arg(long, default_value_t = 1e9)]
    pub lines_per_s: f64,
    /// Instead: watch memory while proxies join and leave for this many seconds; one in twenty reads nothing.
    #[arg(long)]
    pub churn: Option<u64>,
    /// Instead: measure joins over TCP, over mutual TLS (full and resumed), and under a flood of handshakes.
    #[arg(long)]
    pub joins: bool,
    /// Instead: measure the server model alone on one core, and the memory of a modelled server.
    #[arg(long)]
    pub model: bool,
    /// Print as JSON.
    #[arg(long)]
    pub json: bool,
    /// Run as the baseline's process: for each input line, write an order of this size to each socket.
    #[arg(long, hide = true)]
    pub bare_writer: Option<usize>,
}
