//! Tests of parsing settings and options.

use millethold::config::{Config, Options};
use millethold::time::Micros;

const SETTINGS: &str = r#"
member = "n0"
bind = "10.0.0.1:80"
peer_bind = "10.0.0.1:81"
surprise = 1
[[peers]]
member = "n1"
address = "10.0.0.2:81"
[endpoints]
cloud = "10.2.0.2:1"
state = "10.2.0.1:1"
[settings]
[[settings.teams]]
name = "red"
[settings.workers]
report_s = 2.0
lease_s = 12.0
cancel_s = 30.0
[settings.state]
rps = 100.0
write_rps = 10.0
value_kb = 8.0
txn_ops = 8
[settings.cloud]
rps = 5.0
list_lag_s = 3.0
[settings.machine_limits]
cores = 1.0
mem_mb = 100.0
fd_limit = 100
"#;

#[test]
fn settings() {
    let config = Config::parse(SETTINGS).expect("valid settings");
    assert_eq!(config.members(), ["n0", "n1"]);
    // Replaced text, replacement, text that the error must contain.
    let table = [
        ("member = \"n0\"", "", "member"),
        ("member = \"n1\"", "member = \"n0\"", "peers"),
        ("bind = \"10.0.0.1:80\"", "bind = \"here\"", "line"),
        ("lease_s = 12.0", "lease_s = 0.0", "lease_s"),
        ("lease_s = 12.0", "lease_s = nan", "lease_s"),
        ("txn_ops = 8", "txn_ops = 1", "txn_ops"),
        ("txn_ops = 8", "txn_ops = 8\nnext = { txn_ops = 1 }", "state.next.txn_ops"),
        ("txn_ops = 8", "txn_ops = 8\nnext = { value_kb = 0.0 }", "state.next.value_kb"),
        ("txn_ops = 8", "txn_ops = 8\nnext = { rps = nan }", "state.next.rps"),
        ("txn_ops = 8", "txn_ops = 8\nnext = { write_rps = -3.0 }", "state.next.write_rps"),
        ("txn_ops = 8", "txn_ops = 8\nnext = 4", "line"),
        ("write_rps = 10.0", "write_rps = -1.0", "write_rps"),
        ("fd_limit = 100", "fd_limit = 3", "fd_limit"),
        ("[settings.cloud]", "[settings.clouds]", "cloud"),
        ("name = \"red\"", "name = \"red\"\ncpus = -1.0", "teams"),
    ];
    // Of the current and the announced limit, the lower one applies. Limits that are not announced
    // stay as they are.
    let state = &config.settings.kv_store;
    let announced = |next: &str| {
        let text = SETTINGS.replace("txn_ops = 8", &format!("txn_ops = 8\nnext = {next}"));
        Config::parse(&text).expect("valid settings").settings.kv_store
    };
    let limits = [
        ("{}", state.value_kb, state.txn_ops, state.write_rps),
        ("{ value_kb = 2.0, txn_ops = 4, write_rps = 3.0 }", 2.0, 4, 3.0),
        ("{ value_kb = 900.0, txn_ops = 99, write_rps = 1e6 }", state.value_kb, 8, state.write_rps),
    ];
    for (next, value_kb, txn_ops, write_rps) in limits {
        let got = announced(next);
        assert_eq!((got.value_kb, got.txn_ops, got.write_rps), (value_kb, txn_ops, write_rps));
        assert_eq!(got.current_value_kb, state.value_kb, "{next}");
    }
    for (from, to, expected) in table {
        assert!(SETTINGS.contains(from), "{from}");
        let error = Config::parse(&SETTINGS.replace(from, to)).expect_err(to).to_string();
        assert!(error.contains(expected) && !error.contains('\n'), "{from} -> {to}: {error}");
    }
}

#[test]
fn options() {
    let o =
        Options::parse("[placement]\nslack_gb = 2, 3, 5\nindex_entries = 7\n[fleet]\nidle_s = 9\n")
            .expect("valid options");
    assert_eq!(
        (o.slack_gb, o.index_entries, o.idle_timeout),
        ([2.0, 3.0, 5.0], 7, Micros::secs(9))
    );
    let table = [
        ("[placement]\nslack = 1\n", "[placement] slack = 1"),
        ("[nowhere]\nx = 1\n", "[nowhere] x = 1"),
        ("top = 1\n", "top = 1"),
        ("[placement]\nslack_gb = 5, 3, 2\n", "slack_gb"),
        ("[placement]\nslack_gb = 5, 3\n", "slack_gb"),
        ("[seats]\nlease_ms = 5\n", "lease_ms = 5"),
        ("[jobs]\nqueued_tasks = many\n", "queued_tasks = many"),
        ("[fleet]\nspare_share = -1\n", "spare_share"),
        ("[fleet]\nidle_s = NaN\n", "idle_s"),
    ];
    for (text, expected) in table {
        let error = Options::parse(text).expect_err(text).to_string();
        assert!(error.contains(expected), "{text}: {error}");
    }
    // The example file in the repository lists the defaults.
    let example =
        Options::parse(include_str!("../../deploy/options.ini")).expect("a valid example file");
    assert_eq!(format!("{example:?}"), format!("{:?}", Options::default()));
}
