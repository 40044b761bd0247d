//! The store of copies under the faults of disks: each has a stated outcome in `docs/design/copies.md`.
#![allow(clippy::disallowed_types, clippy::disallowed_methods)]

use std::fs;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use redb::{Database, TableDefinition};
use salttally_accord::store::StoreError;
use salttally_copies::core::shelf::Shelf;
use salttally_copies::core::{Bytes, Image, Key, Life, Name, Write};
use salttally_copies::store::{Found, Store};

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

fn writes(life: &str, from: u64, to: u64) -> Vec<Write> {
    let life = Life::from(life);
    let mut head = Shelf::new(&Name::from("f0"), 7).head;
    (head.have, head.whole) = (to, true);
    let entry = |number: u64| {
        let body = Bytes::from(format!("promise {number} {}", "x".repeat(200)).into_bytes());
        Write::Entry(
            Life::clone(&life),
            Key::from(format!("{life}-{number:010}")),
            Some((number, Some(body))),
        )
    };
    (from..=to).map(entry).chain([Write::Head(Life::clone(&life), head)]).collect()
}

fn image(all: &[Vec<Write>]) -> Image {
    let mut image = Image::default();
    all.iter().flatten().for_each(|write| image.write(write));
    image
}

fn equal(one: &Image, other: &Image) -> bool {
    one.shelves == other.shelves
}

#[test]
fn what_was_written_is_there_again_and_what_was_dropped_is_not() {
    let folder = Folder::new();
    let mut all =
        vec![writes("f0-00000001", 1, 50), writes("f0-000000011", 1, 5), writes("f1-00000002", 1, 20)];
    all.push(vec![
        Write::Drop(Life::from("f0-00000001")),
        Write::Entry(Life::from("f1-00000002"), Key::from("f1-00000002-0000000003"), None),
    ]);
    let (store, found_image, found) = Store::open(&folder.file(), true, 41).unwrap();
    assert_eq!((found, found_image.shelves.len(), store.disk), (Found::New, 0, 41));
    all.iter().for_each(|batch| store.write(batch).unwrap());
    assert!(
        matches!(Store::open(&folder.file(), true, 42), Err(StoreError::InUse(_))),
        "one process at a time"
    );
    drop(store);
    let (store, again, found) = Store::open(&folder.file(), false, 42).unwrap();
    assert_eq!((found, store.disk), (Found::Whole, 41), "the number of a disk stays");
    assert!(equal(&again, &image(&all)));
    assert!(again.shelves.contains_key("f0-000000011"), "a life whose name goes on is another life");
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
    assert_eq!((found, store.disk), (Found::Copied, 42));
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
            Ok((_, again, Found::SetAside(to, _))) => {
                assert!(again.shelves.is_empty() && to.exists(), "nothing is taken from a damaged file");
                aside += 1;
            }
            Ok((_, again, Found::New)) => assert!(again.shelves.is_empty(), "an empty file"),
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
