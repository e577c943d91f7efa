//! The program under test: the release build of this very tree, and a directory for its files.

use std::io;
use std::path::{Path, PathBuf};
use std::process::Command;

/// Builds the scheduler, if cargo started this, and says where it is.
///
/// # Errors
/// If it does not build, or is not there.
pub fn build_scheduler() -> io::Result<PathBuf> {
    if let Some(cargo) = std::env::var_os("CARGO") {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
        let build = ["build", "--quiet", "--release", "--package", "chutesaddle", "--bin", "chutesaddle"];
        let status = Command::new(cargo).args(build).current_dir(root).status()?;
        if !status.success() {
            return Err(io::Error::other("the scheduler does not build"));
        }
    }
    let program = std::env::current_exe()?.with_file_name("chutesaddle");
    match program.is_file() {
        true => Ok(program),
        false => Err(io::Error::other(format!("{} is not there: build it", program.display()))),
    }
}

/// A directory for one run, removed with the value.
pub struct TempDirectory(pub PathBuf);

impl TempDirectory {
    /// A new one, named after `name` and this process.
    ///
    /// # Errors
    /// If it cannot be made.
    pub fn new(name: &str) -> io::Result<Self> {
        let path = std::env::temp_dir().join(format!("chutesaddle-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(TempDirectory(path))
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        // What stays behind is the next cleaner's of the temporary directory.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
