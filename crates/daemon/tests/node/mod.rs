//! A front node of the platform as a process, for the tests against the platform's stand-in.
#![allow(dead_code)]

pub mod hand;

use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use salttally_platform::wire::{code, kind, Message};
use salttally_standin::platform::{unique_loopback_host, Platform, Viewer};
use serde_json::Value;

pub const SECOND: Duration = Duration::from_secs(1);
pub const CELLS: usize = 3;

/// A front node as a process of its own, ended with this value.
pub struct Node {
    pub child: Child,
    pub listen: SocketAddr,
    pub config: PathBuf,
    sockets: usize,
}

impl Node {
    pub fn start(platform: &Platform, name: &str, sockets: usize) -> Node {
        let node = Node::start_by(name, sockets, |listen| platform.config(listen, sockets));
        node.wait_ready();
        node
    }

    /// The same by any configuration, not waiting until it is ready.
    pub fn start_by(name: &str, sockets: usize, config: impl FnOnce(SocketAddr) -> Value) -> Node {
        // The address is free again when the listener is dropped, and nobody else has this host.
        let listen = TcpListener::bind((unique_loopback_host(), 0)).unwrap().local_addr().unwrap();
        let file = format!("salttally-{name}-{}.json", std::process::id());
        let path = std::env::temp_dir().join(file);
        fs::write(&path, config(listen).to_string()).unwrap();
        let child = spawn(&path);
        Node { child, listen, config: path, sockets }
    }

    pub fn wait_ready(&self) {
        let until = Instant::now() + 10 * SECOND;
        while Instant::now() < until {
            if let Ok(mut viewer) = Viewer::connect(self.listen) {
                viewer.send(&Message::new(kind::TEST, 1).with(code::CAUSE, [0]));
                if viewer.next(SECOND).and_then(|m| m.cause()) == Some(1) {
                    return;
                }
            }
            thread::sleep(Duration::from_millis(20));
        }
        panic!("the front node is not ready");
    }

    pub fn viewer(&self) -> Viewer {
        Viewer::connect(self.listen).unwrap()
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).unwrap();
    }

    /// Stops the process, and returns when it has stopped: what is done after that it has not seen.
    pub fn stop(&self) {
        self.signal(Signal::STOP);
        let tasks = format!("/proc/{}/task", self.child.id());
        let stopped = || {
            fs::read_dir(&tasks).unwrap().flatten().all(|task| {
                let stat = fs::read_to_string(task.path().join("stat")).unwrap_or_default();
                stat.rsplit(')').next().is_some_and(|rest| rest.trim_start().starts_with('T'))
            })
        };
        soon("it stops", stopped);
    }

    pub fn restart(&mut self, platform: &Platform) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
        fs::write(&self.config, platform.config(self.listen, self.sockets).to_string()).unwrap();
        self.child = spawn(&self.config);
        self.wait_ready();
    }

    pub fn ends(&mut self, within: Duration) -> Option<ExitStatus> {
        let until = Instant::now() + within;
        while Instant::now() < until {
            if let Some(status) = self.child.try_wait().unwrap() {
                return Some(status);
            }
            thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = (self.child.kill(), self.child.wait(), fs::remove_file(&self.config));
    }
}

fn spawn(config: &PathBuf) -> Child {
    let mut command = Command::new(env!("CARGO_BIN_EXE_salttallyd"));
    command.arg("--platform").env("GW_CONFIG", config).stderr(Stdio::null()).spawn().unwrap()
}

/// Asks for a session and waits for the one answer.
pub fn ask(viewer: &mut Viewer, id: u64, class: &str) -> Message {
    viewer.send(&Viewer::request(id, class, CELLS));
    answer(viewer, id)
}

pub fn answer(viewer: &mut Viewer, id: u64) -> Message {
    let got = viewer.next(2 * SECOND).expect("an answer");
    assert_eq!(got.session, id);
    got
}

pub fn soon(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + 5 * SECOND;
    while !holds() {
        assert!(Instant::now() < until, "{what}");
        thread::sleep(Duration::from_millis(5));
    }
}
