//! Child processes, killed when dropped.

use std::process::{Child, Command, ExitStatus};

/// A signal to a child.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// Asks it to stop as planned.
    Terminate,
    /// Pauses it.
    Stop,
    /// Wakes it.
    Continue,
}

/// A child process, killed when dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a child.
    pub fn spawn(command: &mut Command) -> Self {
        let child = command.spawn();
        Self {
            child: child.unwrap_or_else(|e| panic!("{command:?}: {e}")),
        }
    }

    /// The running child.
    pub fn child(&mut self) -> &mut Child {
        &mut self.child
    }

    /// Sends a signal.
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

    /// Kills it at once.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// The exit status, if it has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
