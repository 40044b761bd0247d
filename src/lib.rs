//! Session control for a fleet of media servers by random early migration (REM).
//!
//! A front holds its viewers' sessions: for each it chooses a server that holds the title, sets the rung of the
//! ladder of rates, and may move the session or refuse it. [`controller::Controller`] makes these decisions. It has no
//! clock, no I/O and no threads: the front reports events to it and carries out its actions.
//!
//! ```
//! use salttally::controller::Controller;
//! use salttally::interface::*;
//!
//! # let class = Class { aim: 1_000_000, effect: Effect::Safe, group: Group::All, window: 0, gain: 1.0, floor: 0,
//! #     top: 2, rate_factor: 1.0, seats: 0, live: false };
//! # let ladder = [(200.0, 0.2), (500.0, 0.6), (1000.0, 1.0)].map(|(kb, worth)| Rung { kb, worth }).to_vec();
//! # let settings = Settings { fronts: 1, zone: 0, classes: vec![class], ladder, cells: 3, racks: 0,
//! #     link_kb_per_unit: 5000.0, links_kb: 15000.0, uplink_kb: 0.0, kind_streams: vec![20], refuses_from: 1.0,
//! #     note_interval: 3_000_000, note_age: 800_000, shared_adds: 1.0, change_cost_s: 0.5,
//! #     reports: vec![ReportField::Link], max_attempts: 3, probes: false, probe_price: 0.0,
//! #     max_hold_off: 1_000_000,
//! #     drain_grace: 1_000_000, warm_up: 12_000_000, cold_from: 0.4, fall_multiple: 2.0, fall_window: 1_000_000,
//! #     list_on_demand: false, ask_within: 0, budget: None, move_price: 0.1, cross_price: 0.0 };
//! // `settings` is the configuration of the front.
//! let mut controller = Controller::new(settings, 7);
//! let mut actions = Vec::new();
//!
//! // The list of servers arrives.
//! let entry = |id| ServerEntry { server: ServerId(id), cell: id, units: 1.0, ..ServerEntry::default() };
//! controller.handle(1_000_000, &Event::Servers(ListKind::Complete, vec![entry(0), entry(1), entry(2)]), &mut actions);
//!
//! // A viewer asks for a title, and the session is set up at a holder.
//! let session = SessionId("s1".into());
//! actions.clear();
//! let request = Request { session: session.clone(), class: 0, viewer: ViewerId(9), title: TitleId(4),
//!     patience: 4_000_000, length_hint: None, first_cell: 0, cell_count: 3, top_rung: 2, moved: false, returning: false,
//!     earlier_attempts: 0 };
//! controller.handle(1_010_000, &Event::Request(request), &mut actions);
//! let Some(Action::SetUp(_, server, _)) = actions.last().cloned() else { panic!("{actions:?}") };
//!
//! // The session plays, the server reports the load of its link, and the session ends.
//! let started = Event::Started { session: session.clone(), server, took: 90_000 };
//! controller.handle(1_100_000, &started, &mut actions);
//! let note = Event::Note { session: session.clone(), server, note: Note::Link(0.4) };
//! controller.handle(4_000_000, &note, &mut actions);
//! let ended = Event::Ended { session, attempt: 0, server, outcome: Outcome::Ok, last: true, report: vec![0.4] };
//! controller.handle(9_000_000, &ended, &mut actions);
//! assert!(!actions.iter().any(|action| matches!(action, Action::Refuse(..) | Action::Fail(_))));
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod controller;
mod fleet;
pub mod interface;
pub mod platform_settings;
mod sessions;
mod state;
