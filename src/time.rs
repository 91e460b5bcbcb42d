//! Points in time and durations, in whole microseconds; does not read a clock.

use serde::Serialize;
use std::ops::{Add, AddAssign, Sub};

/// A duration or a point in time, in microseconds. Points in time are on this process's monotonic
/// clock unless stated otherwise.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default, Serialize)]
#[serde(transparent)]
pub struct Micros(pub u64);

impl Micros {
    /// Zero duration, or the zero of the clock.
    pub const ZERO: Micros = Micros(0);
    /// Later than every point in time that occurs; small enough that adding to it does not
    /// overflow.
    pub const FAR_FUTURE: Micros = Micros(u64::MAX / 4);

    /// Creates a duration from whole seconds.
    pub const fn secs(seconds: u64) -> Micros {
        Micros(seconds * 1_000_000)
    }

    /// Creates a duration from whole milliseconds.
    pub const fn millis(milliseconds: u64) -> Micros {
        Micros(milliseconds * 1_000)
    }

    /// Creates a duration from the protocol's decimal seconds; negative and non-finite values
    /// become zero.
    pub fn from_secs_f64(seconds: f64) -> Micros {
        if seconds.is_finite() && seconds > 0.0 {
            Micros((seconds * 1e6).min(1e18).round() as u64)
        } else {
            Micros::ZERO
        }
    }

    /// Converts to decimal seconds, for messages and logs.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Converts to whole milliseconds, rounded down.
    pub fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// The duration since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Micros) -> Micros {
        Micros(self.0.saturating_sub(earlier.0))
    }

    /// Lengthens a duration by `per_mille` thousandths, the maximum drift between two monotonic
    /// clocks; never rounds below the exact result.
    pub fn stretched(self, per_mille: u64) -> Micros {
        Micros(self.0 + self.0 / 1_000 * per_mille + per_mille)
    }

    /// Shortens a duration by `per_mille` thousandths, the maximum drift between two monotonic
    /// clocks; never rounds above the exact result.
    pub fn shortened(self, per_mille: u64) -> Micros {
        Micros(self.0.saturating_sub(self.0 / 1_000 * per_mille + per_mille))
    }

    /// Converts to the standard library's duration, for timers.
    pub fn duration(self) -> std::time::Duration {
        std::time::Duration::from_micros(self.0)
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

impl AddAssign for Micros {
    fn add_assign(&mut self, other: Micros) {
        *self = *self + other;
    }
}

impl Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        self.since(other)
    }
}
