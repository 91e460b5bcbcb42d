//! Rows of a table of runs: each is played with a few seeds.

use super::faults::Faults;
use super::jobs::Plan;
use super::outcome::judge;
use super::world::World;
use std::ops::Range;

/// Second at which a run of a row ends at the latest.
const END_S: u64 = 400;

/// A row: its name, what goes wrong, what users hand in, and what the run must have
/// shown, without which it says nothing.
pub struct Row {
    pub name: &'static str,
    pub faults: Faults,
    pub plans: Vec<Plan>,
    pub shown: fn(&World) -> bool,
}

impl Row {
    /// Plays the row with a seed; what went wrong, if anything.
    pub fn run(&self, seed: u64) -> Option<String> {
        let mut world = World::new(seed, &self.plans, self.faults.clone());
        world.run_out(END_S);
        match judge(self.name, seed, world) {
            Ok(world) if !(self.shown)(&world) => Some(format!(
                "{}, seed {seed}: not shown: {} cancelled, {} of them with others, {} went on, \
                 {} moves, {} starts, {} of them after others",
                self.name,
                world.cancelled(),
                world.cancelled_with_others(),
                world.went_on(),
                world.moves(),
                world.starts,
                world.waited_starts
            )),
            Ok(_) => None,
            Err(text) => Some(text),
        }
    }
}

/// Plays all rows, and tells of all that went wrong and not just of the first.
pub fn play(rows: Vec<Row>, seeds: Range<u64>) {
    let runs = rows.iter().flat_map(|row| seeds.clone().map(move |seed| row.run(seed)));
    assert_no_failures(runs.flatten().collect());
}

/// Fails with all that went wrong.
pub fn assert_no_failures(wrong: Vec<String>) {
    assert!(wrong.is_empty(), "{} runs:\n{}", wrong.len(), wrong.join("\n"));
}

/// A job of tasks of one CPU, of the team without a limit.
pub fn blue(at_s: u64, tasks: u32, run_s: f64) -> Plan {
    Plan { team: "blue", ..Plan::new(at_s, tasks, 1.0, run_s) }
}
