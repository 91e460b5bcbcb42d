//! Table-driven runs: each row of a table is run with several seeds.

use super::faults::Faults;
use super::jobs::Plan;
use super::outcome::check_outcome;
use super::world::World;
use std::ops::Range;

/// Second at which the run of a row ends at the latest.
pub const END_S: u64 = 400;

/// A row of a table: its name, its faults, the jobs that users submit, and a check that the run
/// exercised what the row is for, without which a pass proves nothing.
pub struct Row {
    pub name: &'static str,
    pub faults: Faults,
    pub plans: Vec<Plan>,
    pub exercised: fn(&World) -> bool,
}

impl Row {
    /// Runs the row with a seed; returns a description of the failure, if any.
    pub fn run(&self, seed: u64) -> Option<String> {
        let mut world = World::new(seed, &self.plans, self.faults.clone());
        world.run_to_end(END_S);
        match check_outcome(self.name, seed, world) {
            Ok(world) if !(self.exercised)(&world) => Some(format!(
                "{}, seed {seed}: not exercised: {} cancelled, {} of them with a dependency, \
                 {} done after a late cancellation, {} leader changes, {} starts, \
                 {} of them with dependencies",
                self.name,
                world.cancelled(),
                world.cancelled_with_dependencies(),
                world.done_after_late_cancellation(),
                world.leader_changes(),
                world.starts,
                world.dependent_starts
            )),
            Ok(_) => None,
            Err(text) => Some(text),
        }
    }
}

/// Runs all rows with all seeds, and reports every failure instead of only the first.
pub fn run_rows(rows: Vec<Row>, seeds: Range<u64>) {
    let runs = rows.iter().flat_map(|row| seeds.clone().map(move |seed| row.run(seed)));
    assert_no_failures(runs.flatten().collect());
}

/// Panics with all failures, if there are any.
pub fn assert_no_failures(failures: Vec<String>) {
    assert!(failures.is_empty(), "{} runs failed:\n{}", failures.len(), failures.join("\n"));
}

/// A job of one-CPU tasks, of the team without a limit.
pub fn blue(at_s: u64, tasks: u32, run_s: f64) -> Plan {
    Plan { team: "blue", ..Plan::new(at_s, tasks, 1.0, run_s) }
}
