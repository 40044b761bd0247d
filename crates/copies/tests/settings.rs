//! The block `copies`: invalid settings are refused before anything starts, with file, line and reason.

use salttally_accord::settings::Settings as Accord;
use salttally_copies::settings::Settings;
use salttally_members::settings::Settings as Members;
use salttally_settings::Document;

fn read(copies: &str) -> Result<Option<Settings>, String> {
    let text = format!(
        "front \"f1\" {{ listen \"127.0.0.1:7001\"; zone 2; }}\n\
         members {{ bind \"127.0.0.1:7301\"; seeds \"127.0.0.1:7301\"; key \"{}\"; }}\n\
         accord {{ voters \"f1\" \"f2\" \"f3\"; store \"a.redb\"; }}\n{copies}",
        "5a".repeat(32)
    );
    let document = Document::parse("front.kdl", &text).map_err(|error| error.to_string())?;
    let members = Members::read(&document).map_err(|error| error.to_string())?;
    let accord = Accord::read(&document, members.as_ref()).map_err(|error| error.to_string())?;
    Settings::read(&document, members.as_ref(), accord.as_ref()).map_err(|error| error.to_string())
}

#[track_caller]
fn refused(copies: &str, reason: &str) {
    let error = read(copies).expect_err("must be refused");
    assert!(error.starts_with("front.kdl:4:") && error.contains(reason), "{error}");
}

#[test]
fn copies_that_could_never_count_or_be_kept_are_refused_with_line_and_reason() {
    refused("copies { store \"c.redb\"; copies 1; enough 2; }", "no promise would ever count");
    refused("copies { store \"c.redb\"; copies 9; }", "lies from 0 to 8");
    refused("copies { store \"c.redb\"; within-ms 5; }", "lies from 20 to 60000");
    refused("copies { store \"c.redb\"; most 0; }", "at least 1");
    refused("copies { store \"c.redb\"; too-few \"perhaps\"; }", "known: go-on, refuse");
    refused("copies { store \"c.redb\"; flush \"often\"; }", "known: each, never");
    refused("copies { }", "`store` is missing");
    refused("copies { store \"c.redb\"; copes 1; }", "copes");
}

#[test]
fn without_the_block_nothing_is_copied_and_with_it_zone_and_door_come_from_the_front() {
    assert!(read("").unwrap().is_none());
    let settings = read("copies { store \"c.redb\"; }").unwrap().expect("on");
    assert_eq!((settings.copies, settings.enough, settings.zone, settings.flush), (2, 1, 2, true));
    assert_eq!(settings.client_address, Some("127.0.0.1:7001".parse().unwrap()));
    let alone = "front \"f1\" { listen \"127.0.0.1:7001\"; }\ncopies { store \"c.redb\"; }";
    let document = Document::parse("front.kdl", alone).unwrap();
    let error = Settings::read(&document, None, None).expect_err("nobody to copy to").to_string();
    assert!(error.contains("wants `members` and `accord`"), "{error}");
}
