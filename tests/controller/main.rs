//! One controller against stand-ins of everything that it talks to, a file for each subject.
//!
//! Nothing is drawn by chance: a test refuses, loses or holds exactly the calls that it is
//! about.

#![allow(clippy::too_many_lines, reason = "a table of cases is one function")]

mod damaged_data;
mod dependency_submissions;
mod harness;
mod safety_guards;
mod stale_views;
mod status_page;
mod stored_data;
