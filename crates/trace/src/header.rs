//! The beginning of a file: who wrote it, and when its time 0 was.

use std::io::{Read, Write};

use serde::{Deserialize, Serialize};

use crate::little_endian::{u16_at, u32_at};
use crate::TraceError;

const MAGIC: [u8; 8] = *b"CHTRACE\n";
const VERSION: u16 = 1;
/// The magic, the version, the length of the header and its checksum.
const PRELUDE_BYTES: usize = 8 + 2 + 4 + 4;
/// A header holds some names; a longer one is none.
const MOST_HEADER_BYTES: u32 = 1024 * 1024;

/// The objective of a class, so that a file tells by itself which answers were in time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassObjective {
    /// The name of the class.
    pub name: String,
    /// An answer within this time plus `stretch` times its work is in time; in microseconds.
    pub latency_objective_us: u64,
    /// See `latency_objective_us`.
    pub stretch: f64,
    /// How long a client waits, in microseconds.
    pub deadline_us: u64,
    /// Priority weight of a microsecond of work.
    pub weight: f64,
}

/// Who wrote a file. Encoded by the position of its fields: a new one goes at the end.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The scheduler.
    pub scheduler: String,
    /// Its site.
    pub site: String,
    /// Time 0, as Unix time in microseconds.
    pub anchor: u64,
    /// Digest of the settings in force: files with the same one were written under the same settings.
    pub settings_digest: u64,
    /// The classes.
    pub classes: Vec<ClassObjective>,
    /// The names of the tenants.
    pub tenants: Vec<String>,
    /// Weight of work beyond its tenant's quota, as a fraction.
    pub over_quota_weight: f64,
    /// The file that this one continues, after a rotation or an upgrade.
    pub continues: Option<String>,
    /// A mark of the secret under which names were replaced, in an anonymised file.
    pub secret_mark: Option<u64>,
}

impl Header {
    /// Writes it, and gives its length in bytes.
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

    /// Reads it, and gives its length in bytes.
    pub(crate) fn read(file: &mut impl Read) -> Result<(Self, u64), TraceError> {
        let mut prelude = [0; PRELUDE_BYTES];
        file.read_exact(&mut prelude).map_err(|_| TraceError::NotATrace)?;
        if prelude[..8] != MAGIC {
            return Err(TraceError::NotATrace);
        }
        let version = u16_at(&prelude, 8);
        if version != VERSION {
            return Err(TraceError::UnsupportedVersion(version));
        }
        let (length, crc) = (u32_at(&prelude, 10), u32_at(&prelude, 14));
        if length > MOST_HEADER_BYTES {
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
