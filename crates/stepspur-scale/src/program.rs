//! Finds the `stepspur` program that cargo built beside this executable.

use std::path::PathBuf;

/// Path of the program `stepspur` in the directory of this executable.
///
/// # Errors
/// If no such file exists, because the program was not built.
pub(crate) fn stepspur() -> anyhow::Result<PathBuf> {
    let executable = std::env::current_exe()?;
    let path = executable.with_file_name("stepspur");
    anyhow::ensure!(
        path.is_file(),
        "there is no program {}: build it first, `cargo build --release -p stepspur-cli`",
        path.display()
    );
    Ok(path)
}
