//! `stepspur-scale capacity`: fills the tables of docs/CAPACITY.md from measured slopes and the scale run's
//! result.

mod cell;
mod failures;
mod figures;
mod fleet;
mod gaps;
mod page;
mod predictions;
mod roles;
pub(crate) mod target;
#[cfg(test)]
mod tests;

use std::path::PathBuf;

use anyhow::Context;

use crate::slopes;
use crate::slopes::result::Slopes;
use figures::Figures;

/// Input files and the page to update.
#[derive(Debug, clap::Args)]
pub(crate) struct CapacityArgs {
    /// Slopes, as written by `slopes --json`.
    #[arg(long)]
    slopes: PathBuf,
    /// Result of the scale run, as written by `fleet --json`.
    #[arg(long)]
    fleet: Option<PathBuf>,
    /// Page to update: the text between its markers is replaced.
    #[arg(long)]
    page: PathBuf,
}

/// Replaces the page's generated tables in place.
///
/// # Errors
/// If a file cannot be read, parsed or written, or the page lacks a marker.
pub(crate) fn run(args: CapacityArgs) -> anyhow::Result<()> {
    let slopes = slopes::read(&args.slopes)?;
    let fleet = args.fleet.as_deref().map(fleet::read).transpose()?;
    let page = std::fs::read_to_string(&args.page).with_context(|| args.page.display().to_string())?;
    let written = with_tables(&page, &slopes, fleet.as_ref())?;
    std::fs::write(&args.page, written).with_context(|| args.page.display().to_string())
}

/// Returns `page` with every generated table replaced.
///
/// # Errors
/// If the page lacks a marker.
pub(crate) fn with_tables(
    page: &str,
    slopes: &Slopes,
    fleet: Option<&fleet::Fleet>,
) -> anyhow::Result<String> {
    let figures = Figures(slopes);
    let parts = [
        ("slopes", page::slopes(slopes)),
        ("told", page::predictions(figures)),
        ("conductor", page::conductor(figures)),
        ("others", page::others(figures)),
        ("added", page::added(figures)),
        ("days", page::failures(figures)),
        ("assumptions", page::assumptions(figures)),
        ("fleet", fleet::table(fleet)),
        ("missing", page::gaps(figures)),
    ];
    parts.iter().try_fold(page.to_owned(), |page, (name, text)| replace_between_markers(&page, name, text))
}

/// Replaces the text between the begin and end markers called `name`.
fn replace_between_markers(page: &str, name: &str, text: &str) -> anyhow::Result<String> {
    let (begin, end) = (format!("<!-- {name}: begin -->"), format!("<!-- {name}: end -->"));
    let (before, rest) =
        page.split_once(&begin).with_context(|| format!("the page has no marker `{begin}`"))?;
    let (_, after) =
        rest.split_once(&end).with_context(|| format!("the page has no marker `{end}` after `{begin}`"))?;
    Ok(format!("{before}{begin}\n{}\n{end}{after}", text.trim_end()))
}
