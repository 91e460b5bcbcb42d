//! Controller processes. Each is killed through its own handle, at the latest when its run is
//! dropped, also after an error.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// Files that a controller is started with.
#[derive(Debug, Clone)]
pub struct LaunchConfig {
    /// The service's binary.
    pub binary: PathBuf,
    /// Settings file.
    pub config: PathBuf,
    /// Options file.
    pub options: PathBuf,
    /// File that its standard error is appended to.
    pub log: PathBuf,
}

/// A controller and its process, if one is running.
#[derive(Debug)]
pub struct Controller {
    launch: LaunchConfig,
    child: Option<Child>,
    paused: bool,
}

impl Controller {
    /// A controller whose process has not been started.
    pub fn new(launch: LaunchConfig) -> Controller {
        Controller { launch, child: None, paused: false }
    }

    /// Starts the process, unless it is running.
    ///
    /// # Errors
    ///
    /// If the log file cannot be opened or the process cannot be started.
    pub fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.launch.log)
            .map_err(|error| file_error("open", &self.launch.log, &error))?;
        let child = Command::new(&self.launch.binary)
            .arg("--config")
            .arg(&self.launch.config)
            .arg("--options")
            .arg(&self.launch.options)
            .env("LOG_LEVEL", "debug")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        self.paused = false;
        Ok(())
    }

    /// Whether the process has exited by itself. Afterwards the controller counts as not started.
    pub fn has_exited(&mut self) -> bool {
        let exited = |child: &mut Child| matches!(child.try_wait(), Ok(Some(_)) | Err(_));
        let exited = self.child.as_mut().is_some_and(exited);
        if exited {
            self.child = None;
        }
        exited
    }

    /// Kills the process, if one is running.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both calls fail only if the process has exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
        self.paused = false;
    }

    /// Pauses the process with SIGSTOP.
    pub fn pause(&mut self) {
        self.paused = self.signal(Signal::SIGSTOP);
    }

    /// Resumes a paused process with SIGCONT.
    pub fn resume(&mut self) {
        if self.paused {
            self.signal(Signal::SIGCONT);
            self.paused = false;
        }
    }

    fn signal(&self, signal: Signal) -> bool {
        let id = self.child.as_ref().and_then(|child| i32::try_from(child.id()).ok());
        id.is_some_and(|id| kill(Pid::from_raw(id), signal).is_ok())
    }

    /// Path of the log file.
    pub fn log_path(&self) -> &Path {
        &self.launch.log
    }

    /// The last line of the log.
    pub fn last_line(&self) -> String {
        let text = std::fs::read_to_string(&self.launch.log).unwrap_or_default();
        text.lines().last().unwrap_or("(no output)").to_string()
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Creates or overwrites a file of the run.
///
/// # Errors
///
/// Those of the file system, with the path.
pub fn write_file(path: &Path, text: &str) -> io::Result<()> {
    use std::io::Write;
    File::create(path)
        .and_then(|mut file| file.write_all(text.as_bytes()))
        .map_err(|error| file_error("write", path, &error))
}

/// An error that names the failed operation and the file.
fn file_error(operation: &str, path: &Path, error: &io::Error) -> io::Error {
    let message = format!("cannot {operation} {}: {error}", path.display());
    io::Error::new(error.kind(), message)
}
