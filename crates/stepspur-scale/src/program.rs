//! The real program, as cargo has built it beside this one.

use std::path::PathBuf;

/// The program `stepspur` that stands beside this executable.
///
/// # Errors
/// If it has not been built.
pub(crate) fn stepspur() -> anyhow::Result<PathBuf> {
    let own = std::env::current_exe()?;
    let path = own.with_file_name("stepspur");
    anyhow::ensure!(
        path.is_file(),
        "there is no program {}: build it first, `cargo build --release -p stepspur-cli`",
        path.display()
    );
    Ok(path)
}
