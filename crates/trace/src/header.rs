//! The file header: the scheduler that wrote the file, its start time, classes and tenants.

use std::io::{Read, Write};

use serde::{Deserialize, Serialize};

use crate::little_endian::{u16_at, u32_at};
use crate::TraceError;

const MAGIC: [u8; 8] = *b"CHTRACE\n";
const VERSION: u16 = 1;
/// Magic bytes, format version, length of the encoded header and its checksum.
const PRELUDE_BYTES: usize = 8 + 2 + 4 + 4;
/// A header holds only names and a few numbers; a larger length means that the file is damaged.
const MAX_HEADER_BYTES: u32 = 1024 * 1024;

/// The objective of a request class. Stored in the file so that a reader can tell which answers were in time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassObjective {
    /// Name of the class.
    pub name: String,
    /// An answer is in time if its latency is at most this plus `stretch` times the request's work, in microseconds.
    pub latency_objective_us: u64,
    /// See `latency_objective_us`.
    pub stretch: f64,
    /// Time after which clients give up, in microseconds.
    pub deadline_us: u64,
    /// Priority weight of a microsecond of work.
    pub weight: f64,
}

/// The file header. Fields are encoded by position: add new ones at the end.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// Name of the scheduler that wrote the file.
    pub scheduler: String,
    /// Site of the scheduler.
    pub site: String,
    /// Unix time in microseconds that all times in the file are relative to.
    pub anchor: u64,
    /// Digest of the active settings: files with equal digests were written under the same settings.
    pub settings_digest: u64,
    /// Request classes. Records refer to them by index.
    pub classes: Vec<ClassObjective>,
    /// Tenant names. Records refer to them by index.
    pub tenants: Vec<String>,
    /// Factor applied to the weight of requests over their tenant's quota.
    pub over_quota_weight: f64,
    /// Name of the previous file, if this one continues it after a rotation or an upgrade.
    pub previous_file: Option<String>,
    /// Fingerprint of the secret used to hash names, in an anonymised file.
    pub secret_fingerprint: Option<u64>,
}

impl Header {
    /// Writes the prelude and the header, and returns their length in bytes.
    pub(crate) fn write(&self, file: &mut impl Write) -> Result<u64, TraceError> {
        let body = postcard::to_allocvec(self).map_err(|_| TraceError::DamagedHeader)?;
        let mut bytes = Vec::from(MAGIC);
        bytes.extend(VERSION.to_le_bytes());
        bytes.extend((body.len() as u32).to_le_bytes());
        bytes.extend(crc32fast::hash(&body).to_le_bytes());
        bytes.extend(body);
        file.write_all(&bytes)?;
        Ok(bytes.len() as u64)
    }

    /// Reads the prelude and the header, and returns the header with the length of both in bytes.
    pub(crate) fn read(file: &mut impl Read) -> Result<(Self, u64), TraceError> {
        let mut prelude = [0; PRELUDE_BYTES];
        file.read_exact(&mut prelude).map_err(|error| {
            TraceError::NotATrace(format!("cannot read the first {PRELUDE_BYTES} bytes: {error}"))
        })?;
        let magic = &prelude[..8];
        if *magic != MAGIC {
            let (found, expected) = (magic.escape_ascii(), MAGIC.escape_ascii());
            return Err(TraceError::NotATrace(format!(
                "it starts with \"{found}\" instead of \"{expected}\""
            )));
        }
        let version = u16_at(&prelude, 8);
        if version != VERSION {
            return Err(TraceError::UnsupportedVersion(version));
        }
        let (length, crc) = (u32_at(&prelude, 10), u32_at(&prelude, 14));
        if length > MAX_HEADER_BYTES {
            return Err(TraceError::DamagedHeader);
        }
        let mut body = vec![0; length as usize];
        file.read_exact(&mut body).map_err(|_| TraceError::DamagedHeader)?;
        if crc32fast::hash(&body) != crc {
            return Err(TraceError::DamagedHeader);
        }
        let header = postcard::from_bytes(&body).map_err(|_| TraceError::DamagedHeader)?;
        Ok((header, u64::from(length) + prelude.len() as u64))
    }
}
