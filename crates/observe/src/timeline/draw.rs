//! A time line as an SVG picture: a lane down the page for each instance, a row for each event.
//!
//! Rows are evenly spaced, since events of one request lie microseconds apart and those of two may lie minutes apart.
//! Arrows of one colour lead from event to event of one request.

use std::collections::BTreeMap;
use std::fmt;
use std::fmt::Write;

use units::FlowId;
use units::RequestSeq;

use super::Item;
use super::Line;
use super::columns::clock;
use super::columns::describe;

/// How many rows are drawn at most.
const MAX_ROWS: usize = 2_000;
/// Pixels from row to row.
const ROW: usize = 18;
/// Pixels from lane to lane.
const LANE: usize = 120;
/// Pixels left of the first lane, for the times.
const LEFT: usize = 200;
/// Pixels above the first row, for the names.
const TOP: usize = 60;
/// Pixels right of the last lane, for what happened.
const RIGHT: usize = 620;
/// The colours of requests, which come round again.
const COLOURS: [&str; 8] = [
    "#1f77b4", "#d95f02", "#2ca02c", "#9467bd", "#8c564b", "#c2338f", "#17798b", "#7a7a00",
];
/// The colour of events that are not about a request.
const PLAIN: &str = "#444444";
/// The colour of gaps.
const LOST: &str = "#cc0000";

/// A point on the picture.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Point {
    x: usize,
    y: usize,
}

/// Where things go.
#[derive(Debug)]
struct Layout {
    lanes: Vec<String>,
    rows: usize,
}

impl Layout {
    fn new(items: &[Item]) -> Self {
        let mut lanes: Vec<String> = items.iter().map(|item| describe(item).0).collect();
        lanes.sort();
        lanes.dedup();
        Self {
            lanes,
            rows: items.len(),
        }
    }

    fn x(&self, lane: &str) -> usize {
        let index = self.lanes.iter().position(|name| name == lane);
        LEFT + index.unwrap_or_default() * LANE + LANE / 2
    }

    fn y(row: usize) -> usize {
        TOP + row * ROW + ROW / 2
    }

    fn text_x(&self) -> usize {
        LEFT + self.lanes.len() * LANE
    }

    fn width(&self) -> usize {
        self.text_x() + RIGHT
    }

    fn height(&self) -> usize {
        TOP + (self.rows + 1) * ROW
    }
}

impl Line {
    /// Draws it. Of a long time line the last rows are drawn, and the picture says how many are not.
    pub fn svg(&self) -> String {
        let hidden = self.items.len().saturating_sub(MAX_ROWS);
        let items = &self.items[hidden..];
        let mut svg = String::new();
        draw(&mut svg, items, hidden).expect("a string takes every write");
        svg
    }
}

fn draw(svg: &mut String, items: &[Item], hidden: usize) -> fmt::Result {
    let layout = Layout::new(items);
    let (width, height) = (layout.width(), layout.height());
    writeln!(
        svg,
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{width}\" height=\"{height}\" \
         viewBox=\"0 0 {width} {height}\" font-family=\"sans-serif\" font-size=\"12\">"
    )?;
    svg.push_str("<title>Time line over all instances</title>\n");
    markers(svg)?;
    writeln!(svg, "<rect width=\"{width}\" height=\"{height}\" fill=\"white\"/>")?;
    if hidden > 0 {
        let note = format!("{hidden} earlier rows are not drawn: narrow the time line by --since, --flow or --only");
        text(svg, Point { x: 8, y: 16 }, LOST, &note)?;
    }
    lanes(svg, &layout)?;
    gaps(svg, &layout, items)?;
    arrows(svg, &layout, items)?;
    for (row, item) in items.iter().enumerate() {
        event(svg, &layout, row, item)?;
    }
    svg.push_str("</svg>\n");
    Ok(())
}

/// An arrow head for each colour.
fn markers(svg: &mut String) -> fmt::Result {
    svg.push_str("<defs>\n");
    for (index, colour) in COLOURS.iter().enumerate() {
        writeln!(
            svg,
            "<marker id=\"head-{index}\" viewBox=\"0 0 8 8\" refX=\"11\" refY=\"4\" markerWidth=\"6\" \
             markerHeight=\"6\" orient=\"auto\"><path d=\"M0 0 L8 4 L0 8 z\" fill=\"{colour}\"/></marker>"
        )?;
    }
    svg.push_str("</defs>\n");
    Ok(())
}

fn lanes(svg: &mut String, layout: &Layout) -> fmt::Result {
    for lane in &layout.lanes {
        let x = layout.x(lane);
        let bottom = layout.height();
        writeln!(
            svg,
            "<text x=\"{x}\" y=\"{}\" text-anchor=\"middle\" font-weight=\"bold\">{}</text>",
            TOP - 14,
            escaped(lane)
        )?;
        writeln!(
            svg,
            "<line x1=\"{x}\" y1=\"{TOP}\" x2=\"{x}\" y2=\"{bottom}\" stroke=\"#cccccc\"/>"
        )?;
    }
    Ok(())
}

/// A broken red line over the lane for as long as events may be missing.
fn gaps(svg: &mut String, layout: &Layout, items: &[Item]) -> fmt::Result {
    for (row, item) in items.iter().enumerate() {
        let Item::Gap(gap) = item else {
            continue;
        };
        let last = gap
            .until
            .map_or(items.len(), |until| items.partition_point(|item| item.stamp() < until));
        let x = layout.x(&gap.label());
        let (top, bottom) = (Layout::y(row), Layout::y(last.max(row)));
        writeln!(
            svg,
            "<line x1=\"{x}\" y1=\"{top}\" x2=\"{x}\" y2=\"{bottom}\" stroke=\"{LOST}\" stroke-width=\"4\" \
             stroke-dasharray=\"4 4\"/>"
        )?;
    }
    Ok(())
}

fn arrows(svg: &mut String, layout: &Layout, items: &[Item]) -> fmt::Result {
    let mut last: BTreeMap<(FlowId, RequestSeq), Point> = BTreeMap::new();
    for (row, item) in items.iter().enumerate() {
        let Some(request) = request(item) else {
            continue;
        };
        let to = Point {
            x: layout.x(&describe(item).0),
            y: Layout::y(row),
        };
        let index = colour_index(request);
        if let Some(from) = last.insert(request, to) {
            writeln!(
                svg,
                "<line x1=\"{}\" y1=\"{}\" x2=\"{}\" y2=\"{}\" stroke=\"{}\" stroke-width=\"1.5\" \
                 marker-end=\"url(#head-{index})\"/>",
                from.x, from.y, to.x, to.y, COLOURS[index]
            )?;
        }
    }
    Ok(())
}

fn event(svg: &mut String, layout: &Layout, row: usize, item: &Item) -> fmt::Result {
    let (lane, what) = describe(item);
    let y = Layout::y(row);
    let x = layout.x(&lane);
    let colour = match item {
        Item::Gap(_) => LOST,
        Item::Event(_) => request(item).map_or(PLAIN, |request| COLOURS[colour_index(request)]),
    };
    writeln!(svg, "<circle cx=\"{x}\" cy=\"{y}\" r=\"4\" fill=\"{colour}\"/>")?;
    text(svg, Point { x: 8, y: y + 4 }, PLAIN, &clock(item.stamp()))?;
    let at = Point {
        x: layout.text_x(),
        y: y + 4,
    };
    text(svg, at, colour, &format!("{lane}: {what}"))
}

fn text(svg: &mut String, at: Point, colour: &str, text: &str) -> fmt::Result {
    let Point { x, y } = at;
    writeln!(
        svg,
        "<text x=\"{x}\" y=\"{y}\" fill=\"{colour}\">{}</text>",
        escaped(text)
    )
}

fn request(item: &Item) -> Option<(FlowId, RequestSeq)> {
    match item {
        Item::Event(entry) => entry.record.request(),
        Item::Gap(_) => None,
    }
}

/// Requests of one flow that follow one another differ in colour.
fn colour_index((flow, seq): (FlowId, RequestSeq)) -> usize {
    (flow.0.wrapping_add(seq.0) % COLOURS.len() as u64) as usize
}

/// What an instance that cannot be reached says may hold anything.
fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}
