//! One process of the program under test, started and ended by its id.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A process of `hollowford node`.
#[derive(Debug)]
pub struct Process {
    child: Child,
    program: PathBuf,
    settings: PathBuf,
    log: PathBuf,
    workers_each: usize,
}

impl Process {
    /// Starts a process with a settings file; it appends what it says to `log`.
    ///
    /// # Errors
    /// When the program can't be started.
    pub fn start(
        program: &Path,
        settings: &Path,
        log: &Path,
        workers_each: usize,
    ) -> io::Result<Process> {
        Ok(Process {
            child: spawn(program, settings, log, workers_each)?,
            program: program.to_owned(),
            settings: settings.to_owned(),
            log: log.to_owned(),
            workers_each,
        })
    }

    /// Sends the process a signal, by name.
    ///
    /// # Errors
    /// When it can't be sent.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status()?;
        if sent.success() { Ok(()) } else { Err(io::Error::other(format!("signal {name}"))) }
    }

    /// Kills the process without warning.
    ///
    /// # Errors
    /// When it can't be waited for.
    pub fn kill(&mut self) -> io::Result<()> {
        // It may have ended already.
        let _ = self.child.kill();
        self.child.wait().map(drop)
    }

    /// Tells how the process has ended: whether well; none while it runs.
    ///
    /// # Errors
    /// When the system doesn't say.
    pub fn ended(&mut self) -> io::Result<Option<bool>> {
        Ok(self.child.try_wait()?.map(|status| status.success()))
    }

    /// Starts the process again, with the same settings.
    ///
    /// # Errors
    /// When the program can't be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.program, &self.settings, &self.log, self.workers_each)?;
        Ok(())
    }

    /// Returns what it has logged.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(program: &Path, settings: &Path, log: &Path, workers_each: usize) -> io::Result<Child> {
    let out = File::options().create(true).append(true).open(log)?;
    Command::new(program)
        .args(["node", "--config"])
        .arg(settings)
        .args(["--workers-each", &workers_each.to_string()])
        .stdout(Stdio::from(out.try_clone()?))
        .stderr(Stdio::from(out))
        .spawn()
}
