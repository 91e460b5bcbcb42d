//! Paths of the interfaces: those that this service answers, and those that it calls.

/// Users' jobs.
pub const JOBS: &str = "/work";
/// Last part of the path that cancels a job.
pub const CANCEL: &str = "abort";
/// Load balancer's probe.
pub const HEALTH: &str = "/healthz";
/// Workers' reports.
pub const HEARTBEAT: &str = "/v1/report";
/// Direct commands to a worker.
pub const COMMANDS: &str = "/do";
/// How a worker stands.
pub const INSPECT: &str = "/inspect";
/// Cloud: machine types.
pub const TYPES: &str = "/flavors";
/// Cloud: machines.
pub const MACHINES: &str = "/machines";
/// Cloud: return machines.
pub const RETURN: &str = "/machines/return";
/// State: keys.
pub const KV: &str = "/kv";
/// State: transactions.
pub const TXN: &str = "/txn";
/// State: leases.
pub const LEASES: &str = "/leases";
/// State: renewal, after the lease's number.
pub const EXTEND: &str = "extend";
/// State: changes.
pub const FOLLOW: &str = "/follow";
/// State: how long a watch waits, in its query.
pub const WAIT: &str = "blockMs";
