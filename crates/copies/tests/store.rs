//! The store of copies under disk faults: each fault has a stated outcome in `docs/design/copies.md`.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use redb::{Database, TableDefinition};
use salttally_accord::store::StoreError;
use salttally_copies::core::replica::Replica;
use salttally_copies::core::{Image, Incarnation, Name, RecordBody, RecordKey, Write};
use salttally_copies::store::{OpenOutcome, Store};

struct Folder(PathBuf);

impl Folder {
    fn new() -> Folder {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("salttally-shelves-{}-{number}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Folder(path)
    }

    fn file(&self) -> PathBuf {
        self.0.join("copies.redb")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn writes(incarnation: &str, from: u64, to: u64) -> Vec<Write> {
    let incarnation = Incarnation::from(incarnation);
    let mut head = Replica::new(&Name::from("f0"), 7).head;
    (head.applied, head.complete) = (to, true);
    let entry = |number: u64| {
        let body = RecordBody::from(format!("promise {number} {}", "x".repeat(200)).into_bytes());
        Write::Entry(
            Incarnation::clone(&incarnation),
            RecordKey::from(format!("{incarnation}-{number:010}")),
            Some((number, Some(body))),
        )
    };
    (from..=to).map(entry).chain([Write::Head(Incarnation::clone(&incarnation), head)]).collect()
}

fn image(all: &[Vec<Write>]) -> Image {
    let mut image = Image::default();
    all.iter().flatten().for_each(|write| image.apply(write));
    image
}

fn equal(one: &Image, other: &Image) -> bool {
    one.replicas == other.replicas
}

#[test]
fn what_was_written_is_there_again_and_what_was_dropped_is_not() {
    let folder = Folder::new();
    let mut all =
        vec![writes("f0-00000001", 1, 50), writes("f0-000000011", 1, 5), writes("f1-00000002", 1, 20)];
    all.push(vec![
        Write::Drop(Incarnation::from("f0-00000001")),
        Write::Entry(Incarnation::from("f1-00000002"), RecordKey::from("f1-00000002-0000000003"), None),
    ]);
    let (store, found_image, found) = Store::open(&folder.file(), true, 41).unwrap();
    assert_eq!((found, found_image.replicas.len(), store.disk), (OpenOutcome::New, 0, 41));
    all.iter().for_each(|batch| store.write(batch).unwrap());
    assert!(
        matches!(Store::open(&folder.file(), true, 42), Err(StoreError::InUse(_))),
        "one process at a time"
    );
    drop(store);
    let (store, again, found) = Store::open(&folder.file(), false, 42).unwrap();
    assert_eq!((found, store.disk), (OpenOutcome::Intact, 41), "the number of a disk stays");
    assert!(equal(&again, &image(&all)));
    assert!(again.replicas.contains_key("f0-000000011"), "a life whose name goes on is another life");
}

#[test]
fn a_copied_disk_is_another_disk_with_the_same_promises() {
    let folder = Folder::new();
    let all = vec![writes("f0-00000001", 1, 50)];
    let (store, ..) = Store::open(&folder.file(), true, 41).unwrap();
    all.iter().for_each(|batch| store.write(batch).unwrap());
    drop(store);
    let copy = folder.0.join("elsewhere.redb");
    fs::copy(folder.file(), &copy).unwrap();
    let (store, again, found) = Store::open(&copy, true, 42).unwrap();
    assert_eq!((found, store.disk), (OpenOutcome::Copied, 42));
    assert!(equal(&again, &image(&all)));
}

#[test]
fn a_file_that_is_torn_or_rotten_is_whole_or_set_aside_and_never_read_as_something_else() {
    let folder = Folder::new();
    let all = vec![writes("f0-00000001", 1, 300)];
    let (store, ..) = Store::open(&folder.file(), true, 41).unwrap();
    all.iter().for_each(|batch| store.write(batch).unwrap());
    drop(store);
    let good = fs::read(folder.file()).unwrap();
    let (mut aside, mut whole) = (0, 0);
    for step in 0..40 {
        let mut bytes = good.clone();
        let at = bytes.len() * step / 40;
        if step % 2 == 0 {
            bytes.truncate(at);
        } else {
            let end = (at + 64).min(bytes.len());
            bytes[at..end].fill(0x5a);
        }
        fs::write(folder.file(), &bytes).unwrap();
        match Store::open(&folder.file(), true, 99) {
            Ok((_, again, OpenOutcome::SetAside(to, _))) => {
                assert!(again.replicas.is_empty() && to.exists(), "nothing is taken from a damaged file");
                aside += 1;
            }
            Ok((_, again, OpenOutcome::New)) => assert!(again.replicas.is_empty(), "an empty file"),
            Ok((_, again, _)) => {
                assert!(equal(&again, &image(&all)), "at {at}");
                whole += 1;
            }
            Err(error) => panic!("step {step}: {error}"),
        }
        let _ = fs::remove_file(folder.file());
    }
    assert!(aside > 5 && whole > 5, "{aside} set aside, {whole} whole");
}

#[test]
fn a_store_of_another_form_is_refused_by_number() {
    let folder = Folder::new();
    let database = Database::create(folder.file()).unwrap();
    let write = database.begin_write().unwrap();
    {
        let mut table = write.open_table(TableDefinition::<&str, &[u8]>::new("about")).unwrap();
        let bytes = postcard::to_allocvec(&(77u32, 5u64, (1u64, 2u64))).unwrap();
        table.insert("about", bytes.as_slice()).unwrap();
    }
    write.commit().unwrap();
    drop(database);
    let error = Store::open(&folder.file(), true, 1).err().expect("refused").to_string();
    assert!(error.contains("form 77"), "{error}");
}

#[test]
fn a_place_that_cannot_be_written_is_told_at_the_start() {
    let error = Store::open(&PathBuf::from("/proc/salttally/copies.redb"), true, 1).err().expect("refused");
    assert!(matches!(error, StoreError::Io(..) | StoreError::Damaged(..)), "{error}");
}
