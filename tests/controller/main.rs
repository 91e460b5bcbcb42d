//! Tests of one controller against stand-ins for all its peers and services, one file per subject.
//!
//! Nothing is random: each test refuses, loses or holds exactly the calls that it is about.

#![allow(clippy::too_many_lines, reason = "a table of cases is one function")]

mod damaged_data;
mod dependency_submissions;
mod harness;
mod safety_guards;
mod stale_views;
mod status_page;
mod stored_data;
