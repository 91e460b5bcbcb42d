//! The controllers' processes. Each is ended by its own number, at the latest when the run
//! that started it is over, however that comes about.

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use std::fs::{File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// How a controller is started.
#[derive(Debug, Clone)]
pub struct Program {
    /// The service's program.
    pub binary: PathBuf,
    /// Its settings.
    pub config: PathBuf,
    /// The operators' options.
    pub options: PathBuf,
    /// Where its output goes.
    pub log: PathBuf,
}

/// A controller's process, or none at present.
#[derive(Debug)]
pub struct Controller {
    program: Program,
    child: Option<Child>,
    paused: bool,
}

impl Controller {
    /// A controller that has not been started.
    pub fn new(program: Program) -> Controller {
        Controller { program, child: None, paused: false }
    }

    /// Starts it, unless it is there.
    ///
    /// # Errors
    ///
    /// If the program cannot be started or its log not be written.
    pub fn start(&mut self) -> io::Result<()> {
        if self.child.is_some() {
            return Ok(());
        }
        let log = OpenOptions::new().create(true).append(true).open(&self.program.log)?;
        let child = Command::new(&self.program.binary)
            .arg("--config")
            .arg(&self.program.config)
            .arg("--options")
            .arg(&self.program.options)
            .env("LOG_LEVEL", "debug")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        self.paused = false;
        Ok(())
    }

    /// Whether it has ended by itself; it then counts as not there.
    pub fn has_ended(&mut self) -> bool {
        let ended = |child: &mut Child| matches!(child.try_wait(), Ok(Some(_)) | Err(_));
        let over = self.child.as_mut().is_some_and(ended);
        if over {
            self.child = None;
        }
        over
    }

    /// Kills it.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Both fail only for a process that is gone already.
            let _ = child.kill();
            let _ = child.wait();
        }
        self.paused = false;
    }

    /// Lets it stand still.
    pub fn pause(&mut self) {
        self.paused = self.signal(Signal::SIGSTOP);
    }

    /// Lets it go on.
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

    /// Where its output goes.
    pub fn log(&self) -> &Path {
        &self.program.log
    }

    /// The last line of its output.
    pub fn last_line(&self) -> String {
        let text = std::fs::read_to_string(&self.program.log).unwrap_or_default();
        text.lines().last().unwrap_or("it said nothing").to_string()
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Writes a file of this run.
///
/// # Errors
///
/// Those of the file system.
pub fn write_file(path: &Path, text: &str) -> io::Result<()> {
    use std::io::Write;
    File::create(path)?.write_all(text.as_bytes())
}
