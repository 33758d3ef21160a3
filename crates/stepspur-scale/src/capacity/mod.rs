//! `stepspur-scale capacity`: the tables of docs/CAPACITY.md, worked out from measured slopes.

mod cell;
mod days;
mod figures;
mod fleet;
mod letter;
mod missing;
mod page;
mod roles;
pub(crate) mod target;
#[cfg(test)]
mod tests;

use std::path::PathBuf;

use anyhow::Context;

use crate::slopes;
use crate::slopes::result::Slopes;
use figures::Figures;

/// What is read and written.
#[derive(Debug, clap::Args)]
pub(crate) struct CapacityArgs {
    /// The slopes, as `slopes --json` wrote them.
    #[arg(long)]
    slopes: PathBuf,
    /// The scale run, as `fleet --json` wrote it.
    #[arg(long)]
    fleet: Option<PathBuf>,
    /// The page: what stands between its markers is written anew.
    #[arg(long)]
    page: PathBuf,
}

/// Writes the page's tables.
///
/// # Errors
/// If a file cannot be read, or the page lacks a marker.
pub(crate) fn run(args: CapacityArgs) -> anyhow::Result<()> {
    let slopes = slopes::read(&args.slopes)?;
    let fleet = args.fleet.as_deref().map(fleet::read).transpose()?;
    let page = std::fs::read_to_string(&args.page).with_context(|| args.page.display().to_string())?;
    let written = write(&page, &slopes, fleet.as_ref())?;
    std::fs::write(&args.page, written).with_context(|| args.page.display().to_string())
}

/// The page with all tables anew.
///
/// # Errors
/// If it lacks a marker.
pub(crate) fn write(page: &str, slopes: &Slopes, fleet: Option<&fleet::Fleet>) -> anyhow::Result<String> {
    let figures = Figures(slopes);
    let parts = [
        ("slopes", page::slopes(slopes)),
        ("told", page::told(figures)),
        ("conductor", page::conductor(figures)),
        ("others", page::others(figures)),
        ("added", page::added(figures)),
        ("days", page::bad_days(figures)),
        ("assumptions", page::assumptions(figures)),
        ("fleet", fleet::table(fleet)),
        ("missing", page::missing(figures)),
    ];
    parts.iter().try_fold(page.to_owned(), |page, (name, text)| between(&page, name, text))
}

/// Puts a text between the two markers of a name.
fn between(page: &str, name: &str, text: &str) -> anyhow::Result<String> {
    let (begin, end) = (format!("<!-- {name}: begin -->"), format!("<!-- {name}: end -->"));
    let (before, rest) = page.split_once(&begin).with_context(|| format!("the page lacks `{begin}`"))?;
    let (_, after) =
        rest.split_once(&end).with_context(|| format!("the page lacks `{end}` after its begin"))?;
    Ok(format!("{before}{begin}\n{}\n{end}{after}", text.trim_end()))
}
