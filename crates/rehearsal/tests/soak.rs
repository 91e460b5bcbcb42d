//! Tests of the program: a short seeded soak, invalid options, and an interrupt.

use std::io::Read;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Time that the program may take, also on a loaded machine.
const PROGRAM_TIMEOUT: Duration = Duration::from_secs(600);
/// Held by each test, since instances of the program at the same time might use the same addresses.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// The service's binary of this build. It is built here, in case only this package was built.
fn build_service() -> PathBuf {
    let rehearsal = PathBuf::from(env!("CARGO_BIN_EXE_millethold-rehearsal"));
    let service = rehearsal.with_file_name("millethold");
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let root = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut build = Command::new(cargo);
    build.current_dir(root).args(["build", "--locked", "--quiet", "--package", "millethold"]);
    if rehearsal.components().any(|part| part.as_os_str() == "release") {
        build.arg("--release");
    }
    assert!(build.status().expect("cargo runs").success(), "the service is built");
    service
}

fn soak_command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_millethold-rehearsal"));
    command.arg("soak").args(arguments).stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

/// Number of processes whose command line names this copy of the service. The whole path is
/// compared, since the same test may run elsewhere on the machine at the same time.
fn count_processes(binary: &Path) -> usize {
    let binary = binary.to_str().expect("a path");
    let mut count = 0;
    for entry in std::fs::read_dir("/proc").expect("a list of processes").flatten() {
        let line = std::fs::read(entry.path().join("cmdline")).unwrap_or_default();
        let line = String::from_utf8_lossy(&line).replace('\0', " ");
        count += usize::from(line.contains(binary));
    }
    count
}

/// Copies the service to a path that no other test uses.
fn copy_service(directory: &Path, name: &str) -> PathBuf {
    let copy = directory.join(name);
    std::fs::copy(build_service(), &copy).expect("a copy of the service");
    copy
}

fn wait_for_output(mut child: Child) -> Output {
    let start = Instant::now();
    loop {
        if let Some(status) = child.try_wait().expect("the program") {
            let (mut stdout, mut stderr) = (Vec::new(), Vec::new());
            child.stdout.take().expect("piped").read_to_end(&mut stdout).expect("its output");
            child.stderr.take().expect("piped").read_to_end(&mut stderr).expect("its errors");
            return Output { status, stdout, stderr };
        }
        assert!(start.elapsed() < PROGRAM_TIMEOUT, "the program does not end");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Two runs, reduced for CI to six seconds of faults and ten workers.
#[test]
fn short_seeded_soak() {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(|e| e.into_inner());
    let directory = tempfile::tempdir().expect("a folder");
    let binary = copy_service(directory.path(), "soaked-service");
    let report = directory.path().join("report.json");
    let keep = directory.path().join("keep");
    let arguments = [
        "--seeds",
        "2",
        "--first-seed",
        "7",
        "--seconds",
        "6",
        "--workers",
        "10",
        "--parallel",
        "2",
    ];
    let child = soak_command(&arguments)
        .arg("--binary")
        .arg(&binary)
        .arg("--report")
        .arg(&report)
        .arg("--keep")
        .arg(&keep)
        .spawn()
        .expect("the program");
    let output = wait_for_output(child);
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    assert_eq!(text.lines().last(), Some("2 passed, 0 failed"), "{text}");
    assert_eq!(count_processes(&binary), 0, "a process is still running");

    let json = std::fs::read_to_string(&report).expect("a report");
    let json: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    let runs = json["runs"].as_array().expect("runs");
    let seeds: Vec<u64> = runs.iter().filter_map(|run| run["seed"].as_u64()).collect();
    assert_eq!(seeds, [7, 8]);
    for run in runs {
        assert!(run["counts"]["starts"].as_u64() > Some(0), "{run}");
        assert!(run["faults"].as_array().is_some_and(|faults| faults.len() >= 2), "{run}");
    }
}

/// The program prints one line to standard error, fails, and leaves no process running.
#[test]
fn invalid_options_and_taken_ports() {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(|e| e.into_inner());
    let directory = tempfile::tempdir().expect("a folder");
    let binary = copy_service(directory.path(), "rejected-service");
    // Occupied by another process: a controller's port, and one of the simulated key-value store.
    let api_port = TcpListener::bind("127.251.1.1:8080").expect("a port");
    let kv_store_port = TcpListener::bind("127.252.1.66:2379").expect("a port");
    let table: [(&str, &[&str], &str); 9] = [
        ("no seeds", &["--seeds", "0"], "--seeds"),
        ("no seconds", &["--seconds", "0"], "--seconds"),
        ("no controllers", &["--controllers", "0"], "--controllers"),
        ("too many workers", &["--workers", "100000"], "--workers"),
        ("the last seed is too large", &["--first-seed", "18446744073709551615"], "--first-seed"),
        ("the binary does not exist", &["--binary", "/nowhere/millethold"], "/nowhere/millethold"),
        ("the binary is not a file", &["--binary", "/dev/null"], "/dev/null"),
        ("a controller's port is taken", &["--block", "251"], "127.251.1.1:8080"),
        ("a stand-in's port is taken", &["--block", "252"], "127.252.1.66:2379"),
    ];
    for (name, arguments, expected) in table {
        let mut command = soak_command(arguments);
        if !arguments.contains(&"--binary") {
            command.arg("--binary").arg(&binary);
        }
        let output = wait_for_output(command.spawn().expect("the program"));
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(!output.status.success(), "{name}");
        assert_eq!(errors.lines().count(), 1, "{name}: {errors}");
        assert!(errors.contains(expected), "{name}: {errors}");
    }
    drop((api_port, kv_store_port));
    let unknown = wait_for_output(soak_command(&["--sseeds", "1"]).spawn().expect("the program"));
    assert!(!unknown.status.success());
    assert!(String::from_utf8_lossy(&unknown.stderr).contains("--sseeds"));
    assert_eq!(count_processes(&binary), 0, "a process is still running");
}

/// An interrupt in the middle of a run leaves no process running.
#[test]
fn interrupt_leaves_no_process() {
    let _alone = ONE_AT_A_TIME.lock().unwrap_or_else(|e| e.into_inner());
    let directory = tempfile::tempdir().expect("a folder");
    let binary = copy_service(directory.path(), "interrupted-service");
    let child =
        soak_command(&["--seeds", "3"]).arg("--binary").arg(&binary).spawn().expect("the program");
    let start = Instant::now();
    // Counts the three controllers and the program itself, which names the binary as an argument.
    while count_processes(&binary) < 4 {
        assert!(start.elapsed() < PROGRAM_TIMEOUT, "the controllers do not start");
        std::thread::sleep(Duration::from_millis(20));
    }
    let id = child.id().to_string();
    let signalled = Command::new("kill").args(["-INT", &id]).status().expect("kill");
    assert!(signalled.success());
    let output = wait_for_output(child);
    assert!(!output.status.success());
    assert_eq!(String::from_utf8_lossy(&output.stderr).lines().count(), 1);
    assert_eq!(count_processes(&binary), 0, "a process is still running");
}
