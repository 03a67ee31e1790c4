//! One process of the program under test.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// How a process is started, beside its settings file.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessOptions {
    /// Number of workers of a partition.
    pub workers_per_partition: usize,
    /// Port of the metrics; `None`: they are not served.
    pub metrics_port: Option<u16>,
    /// Number of descriptors that the operating system allows; `None`: as for this process.
    pub max_open_files: Option<u64>,
}

/// A process of `hollowford node`.
#[derive(Debug)]
pub struct Process {
    child: Child,
    program: PathBuf,
    settings_path: PathBuf,
    log_path: PathBuf,
    options: ProcessOptions,
}

impl Process {
    /// Starts a process with a settings file. Its output is appended to `log_path`.
    ///
    /// # Errors
    /// Returns an error if the program can't be started.
    pub fn start(
        program: &Path,
        settings_path: &Path,
        log_path: &Path,
        options: ProcessOptions,
    ) -> io::Result<Process> {
        Ok(Process {
            child: spawn(program, settings_path, log_path, options)?,
            program: program.to_owned(),
            settings_path: settings_path.to_owned(),
            log_path: log_path.to_owned(),
            options,
        })
    }

    /// Sends the process the signal of this name, such as `TERM`.
    ///
    /// # Errors
    /// Returns an error if the signal can't be sent.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status()?;
        if sent.success() { Ok(()) } else { Err(io::Error::other(format!("signal {name}"))) }
    }

    /// Kills the process and waits for its end.
    ///
    /// # Errors
    /// Returns an error if waiting fails.
    pub fn kill(&mut self) -> io::Result<()> {
        // The process may have ended already.
        let _ = self.child.kill();
        self.child.wait().map(drop)
    }

    /// Returns whether the process exited successfully, or `None` while it runs.
    ///
    /// # Errors
    /// Returns an error if its status can't be read.
    pub fn exit_success(&mut self) -> io::Result<Option<bool>> {
        Ok(self.child.try_wait()?.map(|status| status.success()))
    }

    /// Starts the process again with the same settings.
    ///
    /// # Errors
    /// Returns an error if the program can't be started.
    pub fn restart(&mut self) -> io::Result<()> {
        self.child = spawn(&self.program, &self.settings_path, &self.log_path, self.options)?;
        Ok(())
    }

    /// Returns the operating system's id of the process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the contents of the log file; empty if it can't be read.
    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(
    program: &Path,
    settings_path: &Path,
    log_path: &Path,
    options: ProcessOptions,
) -> io::Result<Child> {
    let out = File::options().create(true).append(true).open(log_path)?;
    let mut command = command(program, options.max_open_files);
    command.args(["node", "--config"]).arg(settings_path);
    command.args(["--workers-each", &options.workers_per_partition.to_string()]);
    if let Some(port) = options.metrics_port {
        command.args(["--metrics", &port.to_string()]);
    }
    command.stdout(Stdio::from(out.try_clone()?)).stderr(Stdio::from(out)).spawn()
}

/// Returns a command that runs `program`, with a limit on its descriptors if there is one.
fn command(program: &Path, max_open_files: Option<u64>) -> Command {
    let Some(max) = max_open_files else { return Command::new(program) };
    let mut command = Command::new("sh");
    command.args(["-c", &format!("ulimit -n {max} && exec \"$0\" \"$@\"")]).arg(program);
    command
}
