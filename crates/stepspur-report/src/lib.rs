//! Reports: one HTML file with no outside parts, and the same data as CSV.
//!
//! A [`Page`] holds facts, tables and charts. Charts are SVG within the file; text in them and around them is
//! escaped, so names from a file of settings can do no harm.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::io::Write;
use std::ops::Range;

use maud::{DOCTYPE, Markup, PreEscaped, html};
use plotters::prelude::*;

/// Why a report could not be made.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A chart's values make no picture.
    #[error("chart `{chart}`: {cause}")]
    Chart {
        /// Its title.
        chart: String,
        /// Why.
        cause: String,
    },
    /// The CSV file could not be written.
    #[error("cannot write CSV: {0}")]
    Csv(#[from] csv::Error),
    /// A file could not be written.
    #[error("cannot write: {0}")]
    Io(#[from] std::io::Error),
}

/// How a chart shows its lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Shape {
    /// One beside the other.
    #[default]
    Lines,
    /// One on top of the other.
    Stacked,
}

/// A named line: points in the order of their x.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Line {
    /// Its name, for the legend and the CSV file.
    pub name: String,
    /// Points; those that are no finite numbers are left out.
    pub points: Vec<(f64, f64)>,
    /// For points with an interval: its low and high end by point; else empty.
    pub intervals: Vec<(f64, f64)>,
}

/// A span of x that is marked in every chart: a fault, a phase.
#[derive(Clone, Debug, PartialEq)]
pub struct Band {
    /// What it is.
    pub name: String,
    /// From where to where.
    pub span: Range<f64>,
}

/// A chart.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Chart {
    /// Its title.
    pub title: String,
    /// What x is, with its unit.
    pub x: String,
    /// What y is, with its unit.
    pub y: String,
    /// How lines are shown.
    pub shape: Shape,
    /// The lines.
    pub lines: Vec<Line>,
}

/// A table: a row of heads, and rows of cells.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Its title.
    pub title: String,
    /// Heads.
    pub heads: Vec<String>,
    /// Cells.
    pub rows: Vec<Vec<String>>,
}

/// A report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// Its title.
    pub title: String,
    /// Words under the title.
    pub about: Vec<String>,
    /// Tables, before the charts.
    pub tables: Vec<Table>,
    /// Charts.
    pub charts: Vec<Chart>,
    /// Marked in every chart.
    pub bands: Vec<Band>,
}

/// Lines in turn: the first four are those of outcomes, from good to bad.
const COLORS: [RGBColor; 8] = [
    RGBColor(46, 125, 50),
    RGBColor(240, 162, 2),
    RGBColor(120, 120, 130),
    RGBColor(192, 57, 43),
    RGBColor(42, 122, 185),
    RGBColor(142, 68, 173),
    RGBColor(22, 160, 133),
    RGBColor(93, 64, 55),
];
const SIZE: (u32, u32) = (960, 300);
const BAND_ROW: f64 = 0.07;

impl Page {
    /// The report as one HTML file.
    ///
    /// # Errors
    /// [`ReportError::Chart`].
    pub fn html(&self) -> Result<String, ReportError> {
        let charts: Vec<String> = self.charts.iter().map(|c| c.svg(&self.bands)).collect::<Result<_, _>>()?;
        let page = html! {
            (DOCTYPE)
            html lang="en" {
                head {
                    meta charset="utf-8";
                    title { (self.title) }
                    style { (PreEscaped(STYLE)) }
                }
                body {
                    h1 { (self.title) }
                    @for line in &self.about { p { (line) } }
                    @for table in &self.tables { (table.markup()) }
                    @for chart in &charts { figure { (PreEscaped(chart)) } }
                    @if !self.bands.is_empty() { (self.legend()) }
                }
            }
        };
        Ok(page.into_string())
    }

    fn legend(&self) -> Markup {
        html! {
            h2 { "Bands" }
            ol {
                @for band in &self.bands {
                    li { (band.name) " (" (format!("{:.1}", band.span.start)) " to " (format!("{:.1}", band.span.end)) ")" }
                }
            }
        }
    }

    /// All points of all charts as CSV: chart, line, x, y; bands as chart `bands` with x and y their ends.
    ///
    /// # Errors
    /// [`ReportError::Csv`].
    pub fn csv(&self, to: impl Write) -> Result<(), ReportError> {
        let mut out = csv::Writer::from_writer(to);
        out.write_record(["chart", "line", "x", "y"])?;
        for chart in &self.charts {
            for line in &chart.lines {
                for (x, y) in &line.points {
                    out.write_record([chart.title.as_str(), &line.name, &x.to_string(), &y.to_string()])?;
                }
            }
        }
        for Band { name, span } in &self.bands {
            out.write_record(["bands", name, &span.start.to_string(), &span.end.to_string()])?;
        }
        out.flush()?;
        Ok(())
    }
}

impl Table {
    fn markup(&self) -> Markup {
        html! {
            h2 { (self.title) }
            table {
                tr { @for head in &self.heads { th { (head) } } }
                @for row in &self.rows { tr { @for cell in row { td { (cell) } } } }
            }
        }
    }
}

impl Chart {
    /// Lines as they are drawn: finite, and summed if one stands on the other.
    fn drawn(&self) -> Vec<Vec<(f64, f64)>> {
        let finite = |l: &Line| -> Vec<(f64, f64)> {
            l.points.iter().copied().filter(|(x, y)| x.is_finite() && y.is_finite()).collect()
        };
        let mut lines: Vec<_> = self.lines.iter().map(finite).collect();
        if self.shape == Shape::Stacked {
            for k in 1..lines.len() {
                let below = lines[k - 1].clone();
                for ((_, y), (_, under)) in lines[k].iter_mut().zip(below) {
                    *y += under;
                }
            }
        }
        lines
    }

    /// The chart as SVG.
    ///
    /// # Errors
    /// [`ReportError::Chart`].
    pub fn svg(&self, bands: &[Band]) -> Result<String, ReportError> {
        let mut svg = String::new();
        self.draw(&mut svg, bands)
            .map_err(|cause| ReportError::Chart { chart: self.title.clone(), cause: cause.to_string() })?;
        Ok(svg)
    }

    fn draw(&self, svg: &mut String, bands: &[Band]) -> Result<(), Box<dyn std::error::Error>> {
        let lines = self.drawn();
        let ends =
            lines.iter().flatten().map(|p| p.0).chain(bands.iter().flat_map(|b| [b.span.start, b.span.end]));
        let (from, to) = ends.fold((f64::INFINITY, f64::NEG_INFINITY), |(a, b), x| (a.min(x), b.max(x)));
        let (from, to) = if from < to { (from, to) } else { (0.0, 1.0) };
        let highest = self.lines.iter().flat_map(|l| l.intervals.iter().map(|i| i.1));
        let most = lines.iter().flatten().map(|p| p.1).chain(highest).fold(0.0f64, f64::max);
        let most = if most > 0.0 { most * 1.1 } else { 1.0 };
        let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(&self.title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(56)
            .build_cartesian_2d(from..to, 0.0..most)?;
        chart.configure_mesh().x_desc(&self.x).y_desc(&self.y).light_line_style(WHITE).draw()?;
        for (k, band) in bands.iter().enumerate() {
            let ends = [(band.span.start, 0.0), (band.span.end, most)];
            chart.draw_series([Rectangle::new(ends, RED.mix(0.07).filled())])?;
            // Numbered as in the list under the charts, each a row lower so that overlaps can be read.
            let at = (band.span.start, most * (1.0 - BAND_ROW * (k % 5) as f64));
            chart.draw_series([Text::new(
                format!("{}", k + 1),
                at,
                ("sans-serif", 11).into_font().color(&RED),
            )])?;
        }
        let named: Vec<_> = lines.iter().zip(&self.lines).enumerate().collect();
        // Stacked ones are filled from the top of the pile down, so that each shows only its own part.
        let order: Vec<_> = match self.shape {
            Shape::Stacked => named.into_iter().rev().collect(),
            Shape::Lines => named,
        };
        for (k, (points, line)) in order {
            let color = COLORS[k % COLORS.len()].to_rgba();
            let drawn = match self.shape {
                Shape::Stacked => {
                    chart.draw_series(AreaSeries::new(points.iter().copied(), 0.0, color.mix(0.9)))?
                }
                Shape::Lines => {
                    chart.draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))?
                }
            };
            drawn
                .label(&line.name)
                .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], color.filled()));
            for ((x, _), (low, high)) in points.iter().zip(&line.intervals) {
                chart
                    .draw_series([PathElement::new(vec![(*x, *low), (*x, *high)], color.stroke_width(1))])?;
            }
        }
        if self.lines.len() > 1 {
            chart
                .configure_series_labels()
                .position(SeriesLabelPosition::UpperRight)
                .background_style(WHITE.mix(0.8))
                .draw()?;
        }
        root.present()?;
        Ok(())
    }
}

const STYLE: &str = "body{font:14px sans-serif;margin:24px;max-width:1000px;color:#222}\
table{border-collapse:collapse;margin:8px 0}td,th{border:1px solid #ccc;padding:3px 8px;text-align:left}\
figure{margin:12px 0}";

#[cfg(test)]
mod tests;
