//! Paths of the protocol: those that this service answers, and those that it calls.

/// Users' jobs.
pub const JOBS: &str = "/work";
/// Last part of the path that cancels a job.
pub const CANCEL: &str = "abort";
/// The load balancer's health check.
pub const HEALTH: &str = "/healthz";
/// Workers' heartbeats.
pub const HEARTBEAT: &str = "/v1/report";
/// Direct commands to a worker.
pub const COMMANDS: &str = "/do";
/// A worker's status, without a command.
pub const INSPECT: &str = "/inspect";
/// Cloud: machine types.
pub const TYPES: &str = "/flavors";
/// Cloud: list machines, and scale out.
pub const MACHINES: &str = "/machines";
/// Cloud: scale in.
pub const RETURN: &str = "/machines/return";
/// Key-value store: keys.
pub const KV: &str = "/kv";
/// Key-value store: transactions.
pub const TXN: &str = "/txn";
/// Key-value store: leases.
pub const LEASES: &str = "/leases";
/// Key-value store: renewal, after the lease's number.
pub const EXTEND: &str = "extend";
/// Key-value store: watches.
pub const FOLLOW: &str = "/follow";
/// Key-value store: how long a watch waits, in its query.
pub const WAIT: &str = "blockMs";
