//! Parses submissions field by field, so that the response can name the first invalid field.

use super::users::{JobSpec, Priority, is_valid_job_id};
use serde_json::{Map, Value};
use std::collections::BTreeSet;
use thiserror::Error;

/// Length limit of a text in a submission, in bytes.
const MAX_TEXT_BYTES: usize = 200;
/// Largest number in a submission.
const MAX_AMOUNT: f64 = 1e9;
/// Maximum number of tasks of a job.
pub(crate) const MAX_TASKS: u64 = 100_000;
/// Maximum number of machine types that a job may name.
const MAX_TYPES: usize = 50;
/// Length limit of the name of a machine type, in bytes.
const MAX_TYPE_NAME_BYTES: usize = 100;

/// Problem with a field of a submission. The texts are part of the response to the user.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum FieldProblem {
    /// The body is not JSON.
    #[error("not JSON")]
    NotJson,
    /// The body is JSON, but not an object.
    #[error("not an object")]
    NotAnObject,
    /// The id does not have the protocol's form; see [`is_valid_job_id`].
    #[error("must be j- and digits")]
    NotAJobId,
    /// The field is absent or null.
    #[error("missing")]
    Missing,
    /// The field is not a text, or is empty or too long. The length is limited, since texts are
    /// stored with the job.
    #[error("must be a text of 1 to 200 bytes")]
    NotAText,
    /// The field is not a number, or is out of range.
    #[error("must be a number from 0 to 1e9")]
    NotAnAmount,
    /// The field is not a boolean.
    #[error("must be true or false")]
    NotAFlag,
    /// The kind of job is not `batch`, the only one.
    #[error("unknown kind")]
    UnknownKind,
    /// The priority is none of the four in [`Priority`].
    #[error("unknown priority")]
    UnknownPriority,
    /// The number of tasks is not a whole number, or is out of range.
    #[error("must be a whole number from 1 to 100000")]
    NotATaskCount,
    /// The field is not a list of machine type names, or the list or a name is too long.
    #[error("must be a list of type names")]
    NotTypeNames,
    /// The field is not a list of job ids of the protocol's form.
    #[error("must be a list of job ids")]
    NotJobIds,
}

/// Why a submission is malformed: its first invalid field.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{field} {problem}")]
pub struct InvalidJob {
    /// Name of the invalid field in the protocol; empty for the body as a whole.
    pub field: &'static str,
    /// Problem with the field.
    pub problem: FieldProblem,
    /// Id of the job; `None` if it could not be read. The repeated submission of a known job is
    /// answered 200, whatever the rest of its body contains.
    pub id: Option<String>,
}

/// Parses and checks a submission. A null field counts as absent; only `benches`, `yard`, `dueS`
/// and `upstream` may be absent.
///
/// # Errors
/// The first invalid field, which the response to the user names.
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

/// Fields of a submission whose id is valid, by their names in the protocol.
struct Fields {
    id: String,
    map: Map<String, Value>,
}

/// Returns the value of a field, or `None` if it is absent or null.
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
            Some(Value::String(id)) if is_valid_job_id(id) => id.clone(),
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

    /// Reads a field that may be absent or null; `read` reads it if it is present.
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

    /// Checks the kind of the job: there is only `batch`.
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

    /// Reads the ids of the jobs that must be done first, sorted and without duplicates.
    fn dependencies(&self) -> Result<Vec<String>, InvalidJob> {
        let invalid = || self.invalid("upstream", FieldProblem::NotJobIds);
        let id = |v: &Value| v.as_str().filter(|s| is_valid_job_id(s)).map(String::from);
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
