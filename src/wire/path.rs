//! Paths of the external protocols: those that this service answers, and those that it calls.

/// Users: jobs; a job's id may follow.
pub const JOBS: &str = "/work";
/// Users: last segment of the path that cancels a job.
pub const CANCEL: &str = "abort";
/// Load balancer: health check.
pub const HEALTH: &str = "/healthz";
/// Workers: heartbeats to the controller.
pub const HEARTBEAT: &str = "/v1/report";
/// Workers: direct commands to a worker.
pub const COMMANDS: &str = "/do";
/// Workers: status of a worker, requested without commands.
pub const INSPECT: &str = "/inspect";
/// Cloud: machine types.
pub const TYPES: &str = "/flavors";
/// Cloud: list of machines (GET) and scaling out (POST).
pub const MACHINES: &str = "/machines";
/// Cloud: scaling in.
pub const SCALE_IN: &str = "/machines/return";
/// Key-value store: keys.
pub const KV: &str = "/kv";
/// Key-value store: transactions.
pub const TXN: &str = "/txn";
/// Key-value store: leases.
pub const LEASES: &str = "/leases";
/// Key-value store: last segment of the path that renews a lease, after the lease's id.
pub const RENEW: &str = "extend";
/// Key-value store: watches.
pub const WATCH: &str = "/follow";
/// Key-value store: query parameter of a watch with the time that it may wait, in milliseconds.
pub const WATCH_TIMEOUT_PARAM: &str = "blockMs";
