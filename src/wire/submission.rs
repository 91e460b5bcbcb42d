//! Reads submissions, field by field.

use super::users::{JobSpec, Priority, valid_job_id};
use serde_json::{Map, Value};
use std::collections::BTreeSet;

/// Longest text in a submission, in bytes.
const MAX_TEXT: usize = 200;
/// Largest number in a submission.
const MAX_AMOUNT: f64 = 1e9;
/// Most tasks of a job.
pub(crate) const MAX_TASKS: u64 = 100_000;
/// Most machine types that a job may name.
const MAX_TYPES: usize = 50;
/// Longest name of a machine type, in bytes.
const MAX_TYPE_NAME: usize = 100;

/// Why a submission is malformed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadJob {
    /// The field at fault, empty for the body as a whole.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: &'static str,
    /// The job id if that at least could be read: a repeat of a known job is
    /// answered 200 whatever else its body holds.
    pub id: Option<String>,
}

/// Reads and checks a submission field by field, so that the answer can name
/// the first field at fault. Only what may be null may be left out.
pub fn parse_job(body: &[u8]) -> Result<JobSpec, BadJob> {
    let fields = Fields::read(body)?;
    let class = fields.text("grade")?;
    let team = fields.text("crew")?;
    fields.check_kind()?;
    let priority = fields.priority()?;
    let tasks = fields.tasks()?;
    let cpus = fields.amount("cpus")?;
    let gpus = fields.amount("gpus")?;
    let memory_gb = fields.amount("ramGb")?;
    let image = fields.text("pattern")?;
    let image_gb = fields.amount("pullGb")?;
    let types = fields.types()?;
    let zone = fields.optional("yard", Fields::text)?;
    let deadline_s = fields.optional("dueS", Fields::amount)?;
    let dependencies = fields.dependencies()?;
    let one_zone = fields.flag("together")?;
    let spread = fields.flag("apart")?;
    let spot = fields.flag("loaners")?;
    let estimate_s = fields.amount("expectedS")?;
    let checkpoint_s = fields.amount("notchS")?;
    let save_s = fields.amount("stackS")?;
    Ok(JobSpec {
        id: fields.id,
        class,
        team,
        priority,
        tasks,
        cpus,
        gpus,
        memory_gb,
        image,
        image_gb,
        types,
        zone,
        one_zone,
        spread,
        spot,
        estimate_s,
        checkpoint_s,
        save_s,
        deadline_s,
        dependencies,
    })
}

/// A submission whose id could be read.
struct Fields {
    id: String,
    map: Map<String, Value>,
}

/// What is there under this name, unless it is null.
fn get<'a>(map: &'a Map<String, Value>, field: &str) -> Option<&'a Value> {
    map.get(field).filter(|value| !value.is_null())
}

impl Fields {
    fn read(body: &[u8]) -> Result<Fields, BadJob> {
        let bad = |field, reason| BadJob { field, reason, id: None };
        let value: Value = serde_json::from_slice(body).map_err(|_| bad("", "not JSON"))?;
        let Value::Object(map) = value else {
            return Err(bad("", "not an object"));
        };
        let id = match get(&map, "ref") {
            Some(Value::String(id)) if valid_job_id(id) => id.clone(),
            Some(_) => return Err(bad("ref", "must be j- and digits")),
            None => return Err(bad("ref", "missing")),
        };
        Ok(Fields { id, map })
    }

    fn bad(&self, field: &'static str, reason: &'static str) -> BadJob {
        BadJob { field, reason, id: Some(self.id.clone()) }
    }

    fn get(&self, field: &str) -> Option<&Value> {
        get(&self.map, field)
    }

    fn required(&self, field: &'static str) -> Result<&Value, BadJob> {
        self.get(field).ok_or_else(|| self.bad(field, "missing"))
    }

    /// A field that may be left out, read like one that may not.
    fn optional<T>(
        &self,
        field: &'static str,
        read: fn(&Fields, &'static str) -> Result<T, BadJob>,
    ) -> Result<Option<T>, BadJob> {
        match self.get(field) {
            None => Ok(None),
            Some(_) => read(self, field).map(Some),
        }
    }

    fn text(&self, field: &'static str) -> Result<String, BadJob> {
        match self.required(field)? {
            Value::String(text) if !text.is_empty() && text.len() <= MAX_TEXT => Ok(text.clone()),
            _ => Err(self.bad(field, "must be a text of 1 to 200 bytes")),
        }
    }

    fn amount(&self, field: &'static str) -> Result<f64, BadJob> {
        match self.required(field)?.as_f64() {
            Some(x) if x.is_finite() && (0.0..=MAX_AMOUNT).contains(&x) => Ok(x),
            _ => Err(self.bad(field, "must be a number from 0 to 1e9")),
        }
    }

    fn flag(&self, field: &'static str) -> Result<bool, BadJob> {
        let value = self.required(field)?;
        value.as_bool().ok_or_else(|| self.bad(field, "must be true or false"))
    }

    /// There is one kind of jobs.
    fn check_kind(&self) -> Result<(), BadJob> {
        if self.text("cut")? != "batch" {
            return Err(self.bad("cut", "unknown kind"));
        }
        Ok(())
    }

    fn priority(&self) -> Result<Priority, BadJob> {
        match self.text("urgency")?.as_str() {
            "production" => Ok(Priority::Production),
            "high" => Ok(Priority::High),
            "standard" => Ok(Priority::Normal),
            "low" => Ok(Priority::Low),
            _ => Err(self.bad("urgency", "unknown priority")),
        }
    }

    fn tasks(&self) -> Result<u32, BadJob> {
        match self.required("planks")?.as_u64() {
            Some(count) if (1..=MAX_TASKS).contains(&count) => Ok(count as u32),
            _ => Err(self.bad("planks", "must be a whole number from 1 to 100000")),
        }
    }

    fn types(&self) -> Result<Option<Vec<String>>, BadJob> {
        let bad = || self.bad("benches", "must be a list of type names");
        let name = |v: &Value| v.as_str().filter(|s| s.len() <= MAX_TYPE_NAME).map(String::from);
        match self.get("benches") {
            None => Ok(None),
            Some(Value::Array(list)) if list.len() <= MAX_TYPES => {
                let names: Option<Vec<String>> = list.iter().map(name).collect();
                names.map(Some).ok_or_else(bad)
            }
            Some(_) => Err(bad()),
        }
    }

    /// Each of them once, in order.
    fn dependencies(&self) -> Result<Vec<String>, BadJob> {
        let bad = || self.bad("upstream", "must be a list of job ids");
        let id = |v: &Value| v.as_str().filter(|s| valid_job_id(s)).map(String::from);
        match self.get("upstream") {
            None => Ok(Vec::new()),
            Some(Value::Array(list)) => {
                let ids: Option<BTreeSet<String>> = list.iter().map(id).collect();
                Ok(ids.ok_or_else(bad)?.into_iter().collect())
            }
            Some(_) => Err(bad()),
        }
    }
}
