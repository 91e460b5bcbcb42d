//! Reads submissions, field by field, so that an answer can name the field at fault.

use super::users::{JobSpec, Priority, valid_job_id};
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use thiserror::Error;

/// Longest text in a submission, in bytes.
const MAX_TEXT_BYTES: usize = 200;
/// Largest number in a submission.
const MAX_AMOUNT: f64 = 1e9;
/// Most tasks of a job.
pub(crate) const MAX_TASKS: u64 = 100_000;
/// Most machine types that a job may name.
const MAX_TYPES: usize = 50;
/// Longest name of a machine type, in bytes.
const MAX_TYPE_NAME_BYTES: usize = 100;

/// What is wrong with a field of a submission. The texts go to the user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FieldProblem {
    /// The body cannot be read at all.
    #[error("not JSON")]
    NotJson,
    /// The body is JSON, and no object.
    #[error("not an object")]
    NotAnObject,
    /// The id has not the form of the protocol.
    #[error("must be j- and digits")]
    NotAJobId,
    /// The field is absent or null.
    #[error("missing")]
    Missing,
    /// Texts are short, since they are stored with the job.
    #[error("must be a text of 1 to 200 bytes")]
    NotAText,
    /// No number, or one that is out of bounds.
    #[error("must be a number from 0 to 1e9")]
    NotAnAmount,
    /// No boolean.
    #[error("must be true or false")]
    NotAFlag,
    /// There is one kind of jobs.
    #[error("unknown kind")]
    UnknownKind,
    /// None of the four priorities.
    #[error("unknown priority")]
    UnknownPriority,
    /// No whole number, or one that is out of bounds.
    #[error("must be a whole number from 1 to 100000")]
    NotATaskCount,
    /// No list of machine types, or one that is too long.
    #[error("must be a list of type names")]
    NotTypeNames,
    /// No list of ids of the protocol's form.
    #[error("must be a list of job ids")]
    NotJobIds,
}

/// A submission that is malformed: its first field at fault.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{field} {problem}")]
pub struct InvalidJob {
    /// The field at fault, empty for the body as a whole.
    pub field: &'static str,
    /// What is wrong with it.
    pub problem: FieldProblem,
    /// The job id if that at least could be read: a repeat of a known job is
    /// answered 200 whatever else its body holds.
    pub id: Option<String>,
}

/// Reads and checks a submission field by field, so that the answer can name
/// the first field at fault. Only what may be null may be left out.
pub fn parse_job(body: &[u8]) -> Result<JobSpec, InvalidJob> {
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

/// The fields of a submission whose id could be read, by the protocol's names.
struct Fields {
    id: String,
    map: Map<String, Value>,
}

/// The value of a field, unless it is absent or null.
fn get<'a>(map: &'a Map<String, Value>, field: &str) -> Option<&'a Value> {
    map.get(field).filter(|value| !value.is_null())
}

impl Fields {
    fn read(body: &[u8]) -> Result<Fields, InvalidJob> {
        let invalid = |field, problem| InvalidJob { field, problem, id: None };
        let value: Value =
            serde_json::from_slice(body).map_err(|_| invalid("", FieldProblem::NotJson))?;
        let Value::Object(map) = value else {
            return Err(invalid("", FieldProblem::NotAnObject));
        };
        let id = match get(&map, "ref") {
            Some(Value::String(id)) if valid_job_id(id) => id.clone(),
            Some(_) => return Err(invalid("ref", FieldProblem::NotAJobId)),
            None => return Err(invalid("ref", FieldProblem::Missing)),
        };
        Ok(Fields { id, map })
    }

    fn invalid(&self, field: &'static str, problem: FieldProblem) -> InvalidJob {
        InvalidJob { field, problem, id: Some(self.id.clone()) }
    }

    fn get(&self, field: &str) -> Option<&Value> {
        get(&self.map, field)
    }

    fn required(&self, field: &'static str) -> Result<&Value, InvalidJob> {
        self.get(field).ok_or_else(|| self.invalid(field, FieldProblem::Missing))
    }

    /// A field that may be left out, read like one that may not.
    fn optional<T>(
        &self,
        field: &'static str,
        read: fn(&Fields, &'static str) -> Result<T, InvalidJob>,
    ) -> Result<Option<T>, InvalidJob> {
        match self.get(field) {
            None => Ok(None),
            Some(_) => read(self, field).map(Some),
        }
    }

    fn text(&self, field: &'static str) -> Result<String, InvalidJob> {
        match self.required(field)? {
            Value::String(text) if !text.is_empty() && text.len() <= MAX_TEXT_BYTES => {
                Ok(text.clone())
            }
            _ => Err(self.invalid(field, FieldProblem::NotAText)),
        }
    }

    fn amount(&self, field: &'static str) -> Result<f64, InvalidJob> {
        match self.required(field)?.as_f64() {
            Some(amount) if amount.is_finite() && (0.0..=MAX_AMOUNT).contains(&amount) => {
                Ok(amount)
            }
            _ => Err(self.invalid(field, FieldProblem::NotAnAmount)),
        }
    }

    fn flag(&self, field: &'static str) -> Result<bool, InvalidJob> {
        let value = self.required(field)?;
        value.as_bool().ok_or_else(|| self.invalid(field, FieldProblem::NotAFlag))
    }

    /// Checks the job's kind, of which there is one.
    fn check_kind(&self) -> Result<(), InvalidJob> {
        if self.text("cut")? != "batch" {
            return Err(self.invalid("cut", FieldProblem::UnknownKind));
        }
        Ok(())
    }

    fn priority(&self) -> Result<Priority, InvalidJob> {
        match self.text("urgency")?.as_str() {
            "production" => Ok(Priority::Production),
            "high" => Ok(Priority::High),
            "standard" => Ok(Priority::Normal),
            "low" => Ok(Priority::Low),
            _ => Err(self.invalid("urgency", FieldProblem::UnknownPriority)),
        }
    }

    fn tasks(&self) -> Result<u32, InvalidJob> {
        match self.required("planks")?.as_u64() {
            Some(count) if (1..=MAX_TASKS).contains(&count) => Ok(count as u32),
            _ => Err(self.invalid("planks", FieldProblem::NotATaskCount)),
        }
    }

    fn types(&self) -> Result<Option<Vec<String>>, InvalidJob> {
        let invalid = || self.invalid("benches", FieldProblem::NotTypeNames);
        let name =
            |v: &Value| v.as_str().filter(|s| s.len() <= MAX_TYPE_NAME_BYTES).map(String::from);
        match self.get("benches") {
            None => Ok(None),
            Some(Value::Array(list)) if list.len() <= MAX_TYPES => {
                let names: Option<Vec<String>> = list.iter().map(name).collect();
                names.map(Some).ok_or_else(invalid)
            }
            Some(_) => Err(invalid()),
        }
    }

    /// The jobs that have to be done first: each once, in order.
    fn dependencies(&self) -> Result<Vec<String>, InvalidJob> {
        let invalid = || self.invalid("upstream", FieldProblem::NotJobIds);
        let id = |v: &Value| v.as_str().filter(|s| valid_job_id(s)).map(String::from);
        match self.get("upstream") {
            None => Ok(Vec::new()),
            Some(Value::Array(list)) => {
                let ids: Option<BTreeSet<String>> = list.iter().map(id).collect();
                Ok(ids.ok_or_else(invalid)?.into_iter().collect())
            }
            Some(_) => Err(invalid()),
        }
    }
}
