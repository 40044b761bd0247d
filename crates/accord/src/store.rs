//! The store of one front: a file of the embedded database `redb`, which keeps checksums of its pages and
//! commits atomically.
//!
//! Guarantees after a crash: all writes of a batch are present or none; a batch that [needs a
//! flush](Write::needs_flush) is present once [`Store::write`] has returned. A truncated, foreign, damaged or
//! copied file is never used to vote: it is set aside, or counts as a new disk.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

use std::fs;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};
use std::time::UNIX_EPOCH;

use redb::{Database, Durability, ReadableDatabase, ReadableTable, TableDefinition};
use serde::de::DeserializeOwned;
use serde::Serialize;
use thiserror::Error;

use crate::core::disk::{Image, VoterState, Write};

/// Version of the storage format.
const STORE_FORMAT: u32 = 2;
const HEAD: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("head");
const LOG: TableDefinition<'_, u64, &[u8]> = TableDefinition::new("log");

/// Why the store cannot be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Another process has the file open.
    #[error("{0} is in use by another process")]
    InUse(String),
    /// The file was written by a version of this program with another format.
    #[error(
        "{0} has form {1}, and this program knows form {STORE_FORMAT}: it was written by another version"
    )]
    Form(String, u32),
    /// The disk is full, read-only or broken.
    #[error("{0} cannot be written: {1}")]
    Io(String, String),
    /// The file is damaged.
    #[error("{0} is damaged: {1}")]
    Damaged(String, String),
}

/// What opening the store found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenOutcome {
    /// No file: a new one was created.
    New,
    /// The file as it was left.
    Intact,
    /// A damaged file, renamed to this path; a new one was created.
    SetAside(PathBuf, String),
    /// A file that was copied or moved: its votes are discarded, the history is kept.
    Copied,
}

/// An open store.
pub struct Store {
    path: PathBuf,
    database: Database,
}

/// Identity of a file, which differs for its copies: inode number and creation time.
pub fn file_identity(path: &Path) -> io::Result<(u64, u64)> {
    let about = fs::metadata(path)?;
    let made = about.created().ok().and_then(|at| at.duration_since(UNIX_EPOCH).ok());
    Ok((about.ino(), made.map_or(0, |since| since.as_nanos() as u64)))
}

impl Store {
    /// Opens the file, or creates it. A damaged file is set aside.
    ///
    /// # Errors
    /// The file is in use, has another format, or cannot be written.
    pub fn open(path: &Path) -> Result<(Store, Image, OpenOutcome), StoreError> {
        let existed = path.exists();
        match catch_panics(path, || Store::read(path)) {
            Ok((store, image, copied)) => {
                let found = match (existed, copied) {
                    (false, _) => OpenOutcome::New,
                    (true, true) => OpenOutcome::Copied,
                    (true, false) => OpenOutcome::Intact,
                };
                Ok((store, image, found))
            }
            Err(StoreError::Damaged(_, why)) => {
                let aside = path.with_extension("damaged");
                fs::rename(path, &aside).map_err(|error| io_error(path, &error))?;
                let (store, image, _) = Store::read(path)?;
                Ok((store, image, OpenOutcome::SetAside(aside, why)))
            }
            Err(error) => Err(error),
        }
    }

    fn read(path: &Path) -> Result<(Store, Image, bool), StoreError> {
        let name = path.display().to_string();
        let mut database = Database::create(path).map_err(|error| match error {
            redb::DatabaseError::DatabaseAlreadyOpen => StoreError::InUse(name.clone()),
            redb::DatabaseError::Storage(error) => storage_error(path, &error),
            other => StoreError::Damaged(name.clone(), other.to_string()),
        })?;
        // Danger: a damaged page would otherwise be read as valid state, and used to vote.
        match database.check_integrity() {
            Ok(_) => {}
            Err(redb::DatabaseError::Storage(error)) => return Err(storage_error(path, &error)),
            Err(other) => return Err(StoreError::Damaged(name, other.to_string())),
        }
        let store = Store { path: path.to_owned(), database };
        let (image, copied) = store.load()?;
        Ok((store, image, copied))
    }

    fn damaged(&self, why: impl std::fmt::Display) -> StoreError {
        StoreError::Damaged(self.path.display().to_string(), why.to_string())
    }

    fn failed(&self, error: impl Into<redb::Error>) -> StoreError {
        match error.into() {
            redb::Error::Corrupted(why) => self.damaged(why),
            other => StoreError::Io(self.path.display().to_string(), other.to_string()),
        }
    }

    fn load(&self) -> Result<(Image, bool), StoreError> {
        let place = file_identity(&self.path).map_err(|error| io_error(&self.path, &error))?;
        let begun = self.database.begin_read().map_err(|error| self.failed(error))?;
        let head = match begun.open_table(HEAD) {
            Ok(head) => head,
            Err(redb::TableError::TableDoesNotExist(_)) => {
                drop(begun);
                self.begin(place)?;
                return Ok((Image::default(), false));
            }
            Err(error) => return Err(self.failed(error)),
        };
        let form: u32 = self.get(&head, "form")?.ok_or_else(|| self.damaged("no form"))?;
        if form != STORE_FORMAT {
            return Err(StoreError::Form(self.path.display().to_string(), form));
        }
        let history = self.get(&head, "history")?;
        if self.get(&head, "place")? != Some(place) {
            // Danger: the original may still vote, or may have voted since; a copy does not know of it.
            drop((head, begun));
            self.begin(place)?;
            return Ok((Image { history, ..Image::default() }, true));
        }
        let identity = self.get(&head, "identity")?;
        let vote: Option<VoterState> = self.get(&head, "vote")?;
        let vote = match vote {
            None => None,
            Some(vote) => {
                let log = begun.open_table(LOG).map_err(|error| self.failed(error))?;
                let mut entries = Vec::new();
                for item in log.iter().map_err(|error| self.failed(error))? {
                    let (at, bytes) = item.map_err(|error| self.failed(error))?;
                    if at.value() != entries.len() as u64 {
                        return Err(self.damaged("the log has a gap"));
                    }
                    entries.push(postcard::from_bytes(bytes.value()).map_err(|error| self.damaged(error))?);
                }
                Some(VoterState {
                    promise: self.get(&head, "promise")?,
                    accepted: self.get(&head, "accepted")?,
                    decided: self.get(&head, "decided")?.unwrap_or(0),
                    log: entries,
                    ..vote
                })
            }
        };
        Ok((Image { identity, vote, history }, false))
    }

    fn get<T: DeserializeOwned>(
        &self,
        head: &impl ReadableTable<&'static str, &'static [u8]>,
        key: &str,
    ) -> Result<Option<T>, StoreError> {
        let value = head.get(key).map_err(|error| self.failed(error))?;
        let read = |bytes: &[u8]| postcard::from_bytes(bytes).map_err(|error| self.damaged(error));
        value.map(|value| read(value.value())).transpose()
    }

    /// Initialises the file; an existing history is kept.
    fn begin(&self, place: (u64, u64)) -> Result<(), StoreError> {
        let write = self.database.begin_write().map_err(|error| self.failed(error))?;
        {
            let mut head = write.open_table(HEAD).map_err(|error| self.failed(error))?;
            for key in ["identity", "vote", "promise", "accepted", "decided"] {
                head.remove(key).map_err(|error| self.failed(error))?;
            }
            put(&mut head, "form", &STORE_FORMAT).map_err(|error| self.failed(error))?;
            put(&mut head, "place", &place).map_err(|error| self.failed(error))?;
            let mut log = write.open_table(LOG).map_err(|error| self.failed(error))?;
            log.retain(|_, _| false).map_err(|error| self.failed(error))?;
        }
        write.commit().map_err(|error| self.failed(error))
    }

    /// Writes all of these or none; flushed on return if any of them needs it.
    ///
    /// # Errors
    /// The disk is full, read-only or broken: outputs that depend on the writes must not be carried out.
    pub fn write(&self, writes: &[Write]) -> Result<(), StoreError> {
        catch_panics(&self.path, || self.write_all(writes))
    }

    fn write_all(&self, writes: &[Write]) -> Result<(), StoreError> {
        let mut write = self.database.begin_write().map_err(|error| self.failed(error))?;
        if !writes.iter().any(Write::needs_flush) {
            write.set_durability(Durability::None).map_err(|error| self.failed(error))?;
        }
        {
            let mut head = write.open_table(HEAD).map_err(|error| self.failed(error))?;
            let mut log = write.open_table(LOG).map_err(|error| self.failed(error))?;
            for one in writes {
                let done: Result<(), redb::StorageError> = (|| match one {
                    Write::Identity(disk, starts) => put(&mut head, "identity", &(disk, starts)),
                    Write::History(history) => put(&mut head, "history", history),
                    Write::Promise(ballot) => put(&mut head, "promise", ballot),
                    Write::Accepted(ballot) => put(&mut head, "accepted", ballot),
                    Write::Decided(decided) => put(&mut head, "decided", decided),
                    Write::Voter(vote) => {
                        for key in ["promise", "accepted", "decided"] {
                            head.remove(key)?;
                        }
                        log.retain(|_, _| false)?;
                        put(&mut head, "vote", vote)
                    }
                    Write::Log(from, entries) => {
                        log.retain_in(*from as u64.., |_, _| false)?;
                        for (at, entry) in (*from as u64..).zip(entries) {
                            log.insert(at, encode(entry)?.as_slice())?;
                        }
                        Ok(())
                    }
                })();
                done.map_err(|error| self.failed(error))?;
            }
        }
        write.commit().map_err(|error| self.failed(error))
    }
}

/// Runs database code and turns panics into errors. Danger: the database panics on some damage that its own
/// integrity check accepts; found by a test that truncates files.
pub fn catch_panics<T>(path: &Path, work: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    let damaged = |_| StoreError::Damaged(path.display().to_string(), "a page cannot be read".into());
    catch_unwind(AssertUnwindSafe(work)).unwrap_or_else(|panic| Err(damaged(panic)))
}

/// Encodes a value for storage.
///
/// # Errors
/// The value cannot be encoded.
pub fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, redb::StorageError> {
    postcard::to_allocvec(value).map_err(|error| redb::StorageError::Io(io::Error::other(error.to_string())))
}

fn put<T: Serialize>(
    head: &mut redb::Table<'_, &'static str, &'static [u8]>,
    key: &str,
    value: &T,
) -> Result<(), redb::StorageError> {
    head.insert(key, encode(value)?.as_slice())?;
    Ok(())
}

/// Converts an error of the file system.
pub fn io_error(path: &Path, error: &io::Error) -> StoreError {
    StoreError::Io(path.display().to_string(), error.to_string())
}

/// Converts an error of the database.
pub fn storage_error(path: &Path, error: &redb::StorageError) -> StoreError {
    match error {
        // A file that is not of this database is reported as one that cannot be read.
        redb::StorageError::Corrupted(why) => StoreError::Damaged(path.display().to_string(), why.clone()),
        redb::StorageError::Io(error) if error.kind() == io::ErrorKind::InvalidData => {
            StoreError::Damaged(path.display().to_string(), error.to_string())
        }
        other => StoreError::Io(path.display().to_string(), other.to_string()),
    }
}
