//! The figures of a run: a table, fits, CSV and plots.

use std::collections::BTreeMap;
use std::path::Path;

use super::fit::Fit;
use super::plot;
use crate::error::LabError;

/// What was measured at one size, as it stands in the CSV.
#[derive(Clone, Debug, Default)]
pub(super) struct Row {
    pub(super) nodes: f64,
    pub(super) replicas: f64,
    /// Bytes sent by membership, UDP and IPv4 headers counted.
    pub(super) membership_bytes_per_second: f64,
    /// Bytes of requests between nodes and their answers, without TCP and IP headers.
    pub(super) request_bytes_per_second: f64,
    pub(super) request_frames_per_second: f64,
    /// Of one core.
    pub(super) processor_percent: f64,
    pub(super) memory_mib: f64,
    pub(super) process_memory_mib: f64,
    pub(super) threads: f64,
    /// From the first node's start until every view was whole.
    pub(super) formed_seconds: f64,
    /// From the operator's request until the change was in force on all nodes.
    pub(super) change_in_force_seconds: f64,
    /// Suspicions and failures, declared or heard of; none is wanted.
    pub(super) doubts: f64,
}

const COLUMNS: [&str; 12] = [
    "nodes",
    "replicas",
    "membership_bytes_per_second",
    "request_bytes_per_second",
    "request_frames_per_second",
    "processor_percent",
    "memory_mib",
    "process_memory_mib",
    "threads",
    "formed_seconds",
    "change_in_force_seconds",
    "doubts",
];

impl Row {
    fn values(&self) -> [f64; COLUMNS.len()] {
        [
            self.nodes,
            self.replicas,
            self.membership_bytes_per_second,
            self.request_bytes_per_second,
            self.request_frames_per_second,
            self.processor_percent,
            self.memory_mib,
            self.process_memory_mib,
            self.threads,
            self.formed_seconds,
            self.change_in_force_seconds,
            self.doubts,
        ]
    }

    /// `None` where the line is not one that [`Self::csv`] wrote.
    fn parse(line: &str) -> Option<Self> {
        let values: Vec<f64> = line.split(',').map(|value| value.parse().ok()).collect::<Option<_>>()?;
        let values: [f64; COLUMNS.len()] = values.try_into().ok()?;
        let [
            nodes,
            replicas,
            membership,
            requests,
            frames,
            processor,
            memory,
            process,
            threads,
            formed,
            change,
            doubts,
        ] = values;
        Some(Self {
            nodes,
            replicas,
            membership_bytes_per_second: membership,
            request_bytes_per_second: requests,
            request_frames_per_second: frames,
            processor_percent: processor,
            memory_mib: memory,
            process_memory_mib: process,
            threads,
            formed_seconds: formed,
            change_in_force_seconds: change,
            doubts,
        })
    }

    fn csv(&self) -> String {
        self.values().map(|value| format!("{}", (value * 1_000.0).round() / 1_000.0)).join(",")
    }

    /// The figures in one line.
    pub(super) fn line(&self) -> String {
        let named = COLUMNS.iter().zip(self.values());
        named.map(|(name, value)| format!("{name} {value:.3}")).collect::<Vec<_>>().join(", ")
    }

    fn bytes_per_second(&self) -> f64 {
        self.membership_bytes_per_second + self.request_bytes_per_second
    }
}

/// One figure for each node, with the letter's limit.
pub(super) struct Figure {
    pub(super) name: &'static str,
    pub(super) file: &'static str,
    pub(super) unit: &'static str,
    pub(super) limit: f64,
    pub(super) of: fn(&Row) -> f64,
}

/// The figures that the letter limits.
pub(super) const FIGURES: [Figure; 3] = [
    Figure {
        name: "control bytes sent",
        file: "control-bytes",
        unit: "B/s a node",
        limit: 3_000.0,
        of: Row::bytes_per_second,
    },
    Figure {
        name: "processor time",
        file: "processor-time",
        unit: "% of a core a node",
        limit: 1.1,
        of: |row| row.processor_percent,
    },
    Figure { name: "memory", file: "memory", unit: "MiB a node", limit: 64.0, of: |row| row.memory_mib },
];

/// The figures of all sizes, by number of nodes.
#[derive(Debug, Default)]
pub(super) struct Report {
    rows: BTreeMap<usize, Row>,
}

impl Report {
    pub(super) fn add(&mut self, nodes: usize, row: Row) {
        self.rows.insert(nodes, row);
    }

    /// Takes over the rows of a folder's CSV for sizes that were not measured now, so that each size can be measured
    /// in a process of its own.
    fn keep_rows_of(&mut self, csv: &str) {
        for row in csv.lines().filter_map(Row::parse) {
            self.rows.entry(row.nodes as usize).or_insert(row);
        }
    }

    /// Points of a figure over the number of nodes.
    pub(super) fn points(&self, figure: &Figure) -> Vec<(f64, f64)> {
        // One node alone has nobody to speak to, so it belongs to no slope.
        let clusters = self.rows.values().filter(|row| row.nodes > 1.0);
        clusters.map(|row| (row.nodes, (figure.of)(row))).collect()
    }

    /// A line for each figure and each form of growth.
    pub(super) fn fits(&self) -> String {
        FIGURES.iter().map(|figure| self.fit_line(figure)).collect::<Vec<_>>().join("\n")
    }

    fn fit_line(&self, figure: &Figure) -> String {
        let points = self.points(figure);
        let logarithmic: Vec<_> = points.iter().map(|point| (point.0.ln(), point.1)).collect();
        match (Fit::least_squares(&points), Fit::least_squares(&logarithmic)) {
            (Some(linear), Some(logarithmic)) => format!(
                "{} [{}]: {:.3} + {:.6} n (error {:.3}); {:.3} + {:.4} ln n (error {:.3}); limit {}",
                figure.name,
                figure.unit,
                linear.intercept,
                linear.slope,
                linear.error,
                logarithmic.intercept,
                logarithmic.slope,
                logarithmic.error,
                figure.limit,
            ),
            _ => format!("{} [{}]: fewer than three sizes, no fit", figure.name, figure.unit),
        }
    }

    /// Writes `hollow.csv` and a plot for each figure.
    pub(super) fn write(&mut self, folder: &Path) -> Result<(), LabError> {
        let path = folder.join("hollow.csv");
        self.keep_rows_of(&std::fs::read_to_string(&path).unwrap_or_default());
        let header = COLUMNS.join(",");
        let lines = self.rows.values().map(Row::csv);
        let csv: String = std::iter::once(header).chain(lines).map(|line| line + "\n").collect();
        std::fs::create_dir_all(folder).and_then(|()| std::fs::write(&path, csv)).map_err(|source| {
            LabError::Io {
                action: format!("write {}", path.display()),
                remedy: "give --output a folder that can be written",
                source,
            }
        })?;
        for figure in &FIGURES {
            plot::draw(folder, figure, &self.points(figure))?;
        }
        Ok(())
    }
}
