//! Child processes, killed when dropped.

use std::process::{Child, Command, ExitStatus};

/// A signal to a child process.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// SIGTERM, which requests a graceful shutdown.
    Terminate,
    /// SIGSTOP, which freezes the process.
    Stop,
    /// SIGCONT, which resumes a frozen process.
    Continue,
}

/// A child process, killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a child process.
    pub fn spawn(command: &mut Command) -> Self {
        let child = command.spawn();
        Self {
            child: child.unwrap_or_else(|e| panic!("{command:?}: {e}")),
        }
    }

    /// Returns the child's handle.
    pub fn child(&mut self) -> &mut Child {
        &mut self.child
    }

    /// Sends a signal to the child.
    pub fn signal(&self, signal: Signal) {
        let flag = match signal {
            Signal::Terminate => "-TERM",
            Signal::Stop => "-STOP",
            Signal::Continue => "-CONT",
        };
        let pid = self.child.id().to_string();
        let status = Command::new("kill").args([flag, &pid]).status();
        assert!(status.unwrap().success(), "kill {flag} {pid}");
    }

    /// Kills the child with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit status if the child has exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
