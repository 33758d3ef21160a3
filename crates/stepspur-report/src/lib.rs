//! Reports as one self-contained HTML file, and the same data as CSV.
//!
//! A [`Page`] holds paragraphs, tables and charts. Charts are inline SVG. All text is escaped, so that names
//! from settings files cannot inject markup.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

use std::io::Write;
use std::ops::Range;

use maud::{DOCTYPE, Markup, PreEscaped, html};
use plotters::prelude::*;

/// An error while writing a report.
#[derive(Debug, thiserror::Error)]
pub enum ReportError {
    /// A chart could not be drawn.
    #[error("chart `{chart}`: {cause}")]
    Chart {
        /// Title of the chart.
        chart: String,
        /// Error of the drawing library.
        cause: String,
    },
    /// The CSV file could not be written.
    #[error("cannot write CSV: {0}")]
    Csv(#[from] csv::Error),
    /// A file could not be written.
    #[error("cannot write: {0}")]
    Io(#[from] std::io::Error),
}

/// How a chart draws its lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Shape {
    /// As separate lines.
    #[default]
    Lines,
    /// As areas on top of each other, the first line at the bottom.
    Stacked,
}

/// A named data series, with its points sorted by x.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Line {
    /// Name in the legend and the CSV file.
    pub name: String,
    /// Points as (x, y). Points that are not finite are not drawn.
    pub points: Vec<(f64, f64)>,
    /// Low and high end of the error bar of each point; empty for a line without error bars.
    pub intervals: Vec<(f64, f64)>,
}

/// A range of x that is highlighted in every chart, for example a fault or a phase.
#[derive(Clone, Debug, PartialEq)]
pub struct Band {
    /// Name in the list below the charts and in the CSV file.
    pub name: String,
    /// Begin and end, in units of x.
    pub span: Range<f64>,
}

/// A chart of one or more lines.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Chart {
    /// Title above the chart; also its name in the CSV file.
    pub title: String,
    /// Label of the x axis, with its unit.
    pub x: String,
    /// Label of the y axis, with its unit.
    pub y: String,
    /// How the lines are drawn.
    pub shape: Shape,
    /// The lines, in the order of their colors and of the legend.
    pub lines: Vec<Line>,
}

/// A table with a header row.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Title above the table.
    pub title: String,
    /// Column headers.
    pub heads: Vec<String>,
    /// Rows of cells.
    pub rows: Vec<Vec<String>>,
}

/// The content of a report.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// Title of the page.
    pub title: String,
    /// Paragraphs below the title.
    pub about: Vec<String>,
    /// Tables, placed before the charts.
    pub tables: Vec<Table>,
    /// Charts, placed after the tables.
    pub charts: Vec<Chart>,
    /// Ranges of x that are highlighted in every chart.
    pub bands: Vec<Band>,
}

/// Colors of the lines, reused from the start after the last. The first four suit request outcomes from good
/// to bad.
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
/// Width and height of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (960, 300);
/// Vertical distance of the band numbers, as a share of the chart's height.
const BAND_LABEL_SPACING: f64 = 0.07;

impl Page {
    /// Renders the report as one HTML file.
    ///
    /// # Errors
    /// [`ReportError::Chart`] if a chart cannot be drawn.
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

    /// Renders the numbered list of the bands.
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

    /// Writes all points of all charts as CSV with the columns chart, line, x and y. Bands are rows of the
    /// chart `bands`, with their begin as x and their end as y.
    ///
    /// # Errors
    /// [`ReportError::Csv`] or [`ReportError::Io`] if writing fails.
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
    /// Renders the table as HTML.
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
    /// Returns the points to draw: only finite ones, and running sums for stacked lines.
    fn drawn_points(&self) -> Vec<Vec<(f64, f64)>> {
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

    /// Renders the chart as SVG.
    ///
    /// # Errors
    /// [`ReportError::Chart`] if a chart cannot be drawn.
    pub fn svg(&self, bands: &[Band]) -> Result<String, ReportError> {
        let mut svg = String::new();
        self.draw(&mut svg, bands)
            .map_err(|cause| ReportError::Chart { chart: self.title.clone(), cause: cause.to_string() })?;
        Ok(svg)
    }

    fn draw(&self, svg: &mut String, bands: &[Band]) -> Result<(), Box<dyn std::error::Error>> {
        let lines = self.drawn_points();
        let x_ends =
            lines.iter().flatten().map(|p| p.0).chain(bands.iter().flat_map(|b| [b.span.start, b.span.end]));
        let (from, to) = x_ends.fold((f64::INFINITY, f64::NEG_INFINITY), |(a, b), x| (a.min(x), b.max(x)));
        let (from, to) = if from < to { (from, to) } else { (0.0, 1.0) };
        let interval_ends = self.lines.iter().flat_map(|l| l.intervals.iter().map(|i| i.1));
        let y_max = lines.iter().flatten().map(|p| p.1).chain(interval_ends).fold(0.0f64, f64::max);
        let y_max = if y_max > 0.0 { y_max * 1.1 } else { 1.0 };
        let root = SVGBackend::with_string(svg, CHART_SIZE).into_drawing_area();
        root.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&root)
            .caption(&self.title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(32)
            .y_label_area_size(56)
            .build_cartesian_2d(from..to, 0.0..y_max)?;
        chart.configure_mesh().x_desc(&self.x).y_desc(&self.y).light_line_style(WHITE).draw()?;
        for (k, band) in bands.iter().enumerate() {
            let corners = [(band.span.start, 0.0), (band.span.end, y_max)];
            chart.draw_series([Rectangle::new(corners, RED.mix(0.07).filled())])?;
            // Numbered as in the list below the charts, each one row lower, so that overlapping bands stay
            // readable.
            let at = (band.span.start, y_max * (1.0 - BAND_LABEL_SPACING * (k % 5) as f64));
            chart.draw_series([Text::new(
                format!("{}", k + 1),
                at,
                ("sans-serif", 11).into_font().color(&RED),
            )])?;
        }
        let named: Vec<_> = lines.iter().zip(&self.lines).enumerate().collect();
        // Stacked areas reach down to 0, so they are drawn from the top one down: each covers the lower part
        // of the one before.
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
