//! Builds the scheduler under test, in release mode from this workspace, and creates a directory for its files.

use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Builds the scheduler if this program was started by cargo, and returns the path of the scheduler's binary.
///
/// # Errors
/// If the build fails or the binary does not exist.
pub fn build_scheduler() -> io::Result<PathBuf> {
    if let Some(cargo) = std::env::var_os("CARGO") {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        let build = ["build", "--quiet", "--release", "--package", "chutesaddle", "--bin", "chutesaddle"];
        let status = Command::new(cargo).args(build).current_dir(root).status()?;
        if !status.success() {
            return Err(io::Error::other(format!("building the scheduler failed: {status}")));
        }
    }
    let program = std::env::current_exe()?.with_file_name("chutesaddle");
    match program.is_file() {
        true => Ok(program),
        false => Err(io::Error::other(format!(
            "scheduler binary {} does not exist: build it first",
            program.display()
        ))),
    }
}

/// A temporary directory for one run, removed on drop.
pub struct TempDirectory(pub PathBuf);

impl TempDirectory {
    /// Creates a directory whose name contains `name` and the ID of this process.
    ///
    /// # Errors
    /// If the directory cannot be created.
    pub fn new(name: &str) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("chutesaddle-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(TempDirectory(path))
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        // Anything left behind is removed when the system cleans its temporary directory.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
