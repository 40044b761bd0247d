//! The store of one front: a file of the embedded database `redb`, with its replicas of other fronts' records
//! and its own records.
//!
//! Guarantees after a crash: all writes of a batch are present or none; if the settings ask for flushes, a
//! batch is present once [`Store::write`] has returned. A damaged file is set aside and a new disk id is
//! used, by which owners notice the loss and fill the replica again; a copied file gets a new disk id too.

use std::fs;
use std::path::{Path, PathBuf};

use redb::{Database, Durability, ReadableDatabase, ReadableTable, TableDefinition};
use salttally_accord::store::{catch_panics, encode, file_identity, io_error, storage_error, StoreError};

use crate::core::replica::{Replica, ReplicaHead};
use crate::core::{Image, Incarnation, RecordBody, RecordKey, Write};

/// Version of the storage format.
const STORE_FORMAT: u32 = 1;
const ABOUT: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("about");
const HEADS: TableDefinition<'_, &str, &[u8]> = TableDefinition::new("heads");
const ENTRIES: TableDefinition<'_, (&str, &str), &[u8]> = TableDefinition::new("entries");

/// What opening the store found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenOutcome {
    /// No file: a new one was created.
    New,
    /// The file as it was left.
    Intact,
    /// A damaged file, renamed to this path; a new one was created.
    SetAside(PathBuf, String),
    /// A file that was copied or moved: its contents are kept, under a new disk id.
    Copied,
}

/// An open store.
pub struct Store {
    path: PathBuf,
    database: Database,
    flush: bool,
    /// Disk id.
    pub disk: u64,
}

impl Store {
    /// Opens the file, or creates it; a new disk gets the id `new_disk_id`. A damaged file is set aside.
    ///
    /// # Errors
    /// The file is in use, has another format, or cannot be written.
    pub fn open(
        path: &Path,
        flush: bool,
        new_disk_id: u64,
    ) -> Result<(Store, Image, OpenOutcome), StoreError> {
        match catch_panics(path, || Store::read(path, flush, new_disk_id)) {
            Err(StoreError::Damaged(_, why)) => {
                let aside = path.with_extension("damaged");
                fs::rename(path, &aside).map_err(|error| io_error(path, &error))?;
                let (store, image, _) = Store::read(path, flush, new_disk_id)?;
                Ok((store, image, OpenOutcome::SetAside(aside, why)))
            }
            other => other,
        }
    }

    fn read(path: &Path, flush: bool, new_disk_id: u64) -> Result<(Store, Image, OpenOutcome), StoreError> {
        let name = path.display().to_string();
        let mut database = Database::create(path).map_err(|error| match error {
            redb::DatabaseError::DatabaseAlreadyOpen => StoreError::InUse(name.clone()),
            redb::DatabaseError::Storage(error) => storage_error(path, &error),
            other => StoreError::Damaged(name.clone(), other.to_string()),
        })?;
        match database.check_integrity() {
            Ok(_) => {}
            Err(redb::DatabaseError::Storage(error)) => return Err(storage_error(path, &error)),
            Err(other) => return Err(StoreError::Damaged(name, other.to_string())),
        }
        let mut store = Store { path: path.to_owned(), database, flush, disk: new_disk_id };
        let (image, found) = store.load(new_disk_id)?;
        Ok((store, image, found))
    }

    fn failed(&self, error: impl Into<redb::Error>) -> StoreError {
        match error.into() {
            redb::Error::Corrupted(why) => StoreError::Damaged(self.path.display().to_string(), why),
            other => StoreError::Io(self.path.display().to_string(), other.to_string()),
        }
    }

    fn load(&mut self, new_disk_id: u64) -> Result<(Image, OpenOutcome), StoreError> {
        let here = file_identity(&self.path).map_err(|error| io_error(&self.path, &error))?;
        let about: Option<(u32, u64, (u64, u64))> = {
            let begun = self.database.begin_read().map_err(|error| self.failed(error))?;
            match begun.open_table(ABOUT) {
                Ok(table) => match table.get("about").map_err(|error| self.failed(error))? {
                    Some(bytes) => Some(self.decoded(bytes.value())?),
                    None => None,
                },
                Err(redb::TableError::TableDoesNotExist(_)) => None,
                Err(error) => return Err(self.failed(error)),
            }
        };
        let name = || self.path.display().to_string();
        let found = match about {
            None => OpenOutcome::New,
            Some((form, ..)) if form != STORE_FORMAT => return Err(StoreError::Form(name(), form)),
            Some((_, disk, first)) if first == here => {
                self.disk = disk;
                OpenOutcome::Intact
            }
            Some(_) => OpenOutcome::Copied,
        };
        if found != OpenOutcome::Intact {
            let write = self.database.begin_write().map_err(|error| self.failed(error))?;
            {
                let mut table = write.open_table(ABOUT).map_err(|error| self.failed(error))?;
                let bytes = encode(&(STORE_FORMAT, new_disk_id, here)).map_err(|error| self.failed(error))?;
                table.insert("about", bytes.as_slice()).map_err(|error| self.failed(error))?;
                write.open_table(HEADS).map_err(|error| self.failed(error))?;
                write.open_table(ENTRIES).map_err(|error| self.failed(error))?;
            }
            write.commit().map_err(|error| self.failed(error))?;
        }
        Ok((self.image()?, found))
    }

    fn decoded<T: serde::de::DeserializeOwned>(&self, bytes: &[u8]) -> Result<T, StoreError> {
        let damaged =
            |error: postcard::Error| StoreError::Damaged(self.path.display().to_string(), error.to_string());
        postcard::from_bytes(bytes).map_err(damaged)
    }

    fn image(&self) -> Result<Image, StoreError> {
        let mut image = Image::default();
        let begun = self.database.begin_read().map_err(|error| self.failed(error))?;
        let heads = begun.open_table(HEADS).map_err(|error| self.failed(error))?;
        for row in heads.iter().map_err(|error| self.failed(error))? {
            let (incarnation, head) = row.map_err(|error| self.failed(error))?;
            let head: ReplicaHead = self.decoded(head.value())?;
            let replica = Replica { head, entries: Default::default() };
            image.replicas.insert(Incarnation::from(incarnation.value()), replica);
        }
        let entries = begun.open_table(ENTRIES).map_err(|error| self.failed(error))?;
        for row in entries.iter().map_err(|error| self.failed(error))? {
            let (at, entry) = row.map_err(|error| self.failed(error))?;
            let (incarnation, key) = at.value();
            let entry: (u64, Option<RecordBody>) = self.decoded(entry.value())?;
            if let Some(replica) = image.replicas.get_mut(incarnation) {
                replica.entries.insert(RecordKey::from(key), entry);
            }
        }
        Ok(image)
    }

    /// Writes a batch atomically, and flushes it if the settings ask for it.
    ///
    /// # Errors
    /// The disk is full, read-only or broken: outputs that depend on the writes must not be carried out.
    pub fn write(&self, writes: &[Write]) -> Result<(), StoreError> {
        catch_panics(&self.path, || self.write_all(writes))
    }

    fn write_all(&self, writes: &[Write]) -> Result<(), StoreError> {
        let mut write = self.database.begin_write().map_err(|error| self.failed(error))?;
        if !self.flush {
            write.set_durability(Durability::None).map_err(|error| self.failed(error))?;
        }
        {
            let mut heads = write.open_table(HEADS).map_err(|error| self.failed(error))?;
            let mut entries = write.open_table(ENTRIES).map_err(|error| self.failed(error))?;
            for one in writes {
                let done: Result<(), redb::StorageError> = (|| {
                    match one {
                        Write::Head(incarnation, head) => {
                            heads.insert(&**incarnation, encode(head)?.as_slice())?;
                        }
                        Write::Entry(incarnation, key, Some(entry)) => {
                            entries.insert((&**incarnation, &**key), encode(entry)?.as_slice())?;
                        }
                        Write::Entry(incarnation, key, None) => {
                            entries.remove((&**incarnation, &**key))?;
                        }
                        Write::Drop(incarnation) => {
                            heads.remove(&**incarnation)?;
                            let after = format!("{incarnation}\u{0}");
                            entries.retain_in((&**incarnation, "")..(after.as_str(), ""), |_, _| false)?;
                        }
                    }
                    Ok(())
                })();
                done.map_err(|error| self.failed(error))?;
            }
        }
        write.commit().map_err(|error| self.failed(error))
    }
}
