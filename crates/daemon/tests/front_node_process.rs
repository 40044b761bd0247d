//! The platform's requirements on the process itself, checked in /proc while the front node serves.

mod node;

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::thread;

use node::{wait_until, Node, CELLS, SECOND};
use salttally_platform::wire::kind;
use salttally_standin::platform::{Platform, Viewer};

fn proc_path(node: &Node, rest: &str) -> PathBuf {
    PathBuf::from(format!("/proc/{}/{rest}", node.child.id()))
}

fn proc_text(node: &Node, rest: &str) -> String {
    fs::read_to_string(proc_path(node, rest)).unwrap_or_default()
}

fn dir_entries(path: &Path) -> Vec<PathBuf> {
    fs::read_dir(path).unwrap().map_while(Result::ok).map(|entry| entry.path()).collect()
}

fn threads(node: &Node) -> Vec<PathBuf> {
    dir_entries(&proc_path(node, "task"))
}

/// Targets of the open descriptors.
fn open_files(node: &Node) -> Vec<String> {
    let links = dir_entries(&proc_path(node, "fd"));
    links.iter().filter_map(|fd| fs::read_link(fd).ok()).map(|target| target.display().to_string()).collect()
}

fn children(node: &Node) -> String {
    threads(node).iter().filter_map(|task| fs::read_to_string(task.join("children")).ok()).collect()
}

/// Resident memory, kB.
fn resident_kb(node: &Node) -> u64 {
    let status = proc_text(node, "status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// Inodes of sockets that are neither TCP or UDP over IPv4 nor unnamed Unix sockets. A named one could be reached by
/// other processes.
fn unexpected_sockets(node: &Node) -> Vec<String> {
    let column = |table: &str, at: usize| -> BTreeSet<String> {
        let text = proc_text(node, &format!("net/{table}"));
        text.lines().skip(1).filter_map(|line| line.split_whitespace().nth(at).map(str::to_owned)).collect()
    };
    let inet_inodes: BTreeSet<String> = column("tcp", 9).union(&column("udp", 9)).cloned().collect();
    // The pipes that deliver signals are unnamed socket pairs, which no other process can reach.
    let unix = proc_text(node, "net/unix");
    let unnamed_unix: BTreeSet<&str> = unix
        .lines()
        .skip(1)
        .map(|line| line.split_whitespace().collect::<Vec<_>>())
        .filter(|fields| fields.len() == 7)
        .map(|fields| fields[6])
        .collect();
    let sockets = open_files(node).into_iter().filter_map(|target| {
        target.strip_prefix("socket:[").and_then(|rest| rest.strip_suffix(']')).map(str::to_owned)
    });
    sockets.filter(|inode| !inet_inodes.contains(inode) && !unnamed_unix.contains(inode.as_str())).collect()
}

#[test]
fn the_run_command_is_a_single_exec_of_a_dynamically_linked_binary() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml");
    let deploy = fs::read_to_string(deploy).unwrap();
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).unwrap();
    assert!(run.starts_with("exec ") && !run.contains([';', '&', '|']), "{run}");
    assert!(run.contains("salttallyd --platform"), "{run}");
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "linked", 256);
    let maps = proc_text(&node, "maps");
    assert!(maps.contains("libc.so") && maps.contains("ld-linux"), "not linked dynamically");
    assert!(maps.contains("[vdso]"));
}

#[test]
fn bursts_leak_no_child_process_thread_socket_or_memory() {
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "burst", 512);
    let run_burst = |from: u64| {
        let mut viewers: Vec<Viewer> = (0..100).map(|_| node.viewer()).collect();
        for (at, viewer) in viewers.iter_mut().enumerate() {
            let first = from + at as u64 * 10;
            (first..first + 10).for_each(|id| viewer.send(&Viewer::request(id, "clip", CELLS)));
        }
        for viewer in &mut viewers {
            assert!((0..10).all(|_| viewer.next(5 * SECOND).is_some()), "each request has its answer");
        }
        assert_eq!(children(&node), "");
        assert_eq!(unexpected_sockets(&node), Vec::<String>::new());
        for (at, viewer) in viewers.iter().enumerate() {
            let first = from + at as u64 * 10;
            (first..first + 10)
                .for_each(|id| viewer.send(&salttally_platform::wire::Message::release(id, 16)));
        }
        let ended =
            |viewer: &mut Viewer| viewer.next(5 * SECOND).is_some_and(|m| m.kind == kind::RELEASE_ACK);
        assert!(viewers.iter_mut().all(|viewer| (0..10).all(|_| ended(viewer))));
    };
    // The first burst grows the allocator's pools; later ones must reuse them.
    run_burst(1_000);
    wait_until("the viewers' connections are closed", || open_files(&node).len() < 60);
    let (files, tasks, memory) = (open_files(&node).len(), threads(&node).len(), resident_kb(&node));
    (2..5).for_each(|round| run_burst(round * 1_000));
    wait_until("the descriptors are freed", || open_files(&node).len() <= files + 6 * CELLS);
    assert_eq!(threads(&node).len(), tasks);
    assert!(resident_kb(&node) < memory + 2_048, "{} kB, {memory} kB before", resident_kb(&node));
    assert_eq!(unexpected_sockets(&node), Vec::<String>::new());
}

#[test]
fn idle_threads_neither_spin_nor_sleep_for_long() {
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "waits", 256);
    let cpu_ticks = || -> u64 {
        let fields = proc_text(&node, "stat");
        let after = fields.rsplit(')').next().unwrap_or_default().to_owned();
        after.split_whitespace().skip(11).take(2).map(|ticks| ticks.parse::<u64>().unwrap()).sum()
    };
    let switches = || -> u64 {
        let of = |task: &PathBuf| {
            let status = fs::read_to_string(task.join("status")).unwrap_or_default();
            let line = status.lines().find_map(|l| l.strip_prefix("voluntary_ctxt_switches:"));
            line.and_then(|l| l.trim().parse::<u64>().ok()).unwrap_or(0)
        };
        threads(&node).iter().map(of).sum()
    };
    let (ticks, before) = (cpu_ticks(), switches());
    thread::sleep(3 * SECOND);
    let (ticks, switches_done) = (cpu_ticks() - ticks, switches() - before);
    assert!(
        ticks <= 15,
        "{ticks} hundredths of a second of processor time in three seconds of nothing to do"
    );
    // The process wakes at least once a second, and no thread spins.
    assert!((3..600).contains(&switches_done), "{switches_done} waits");
}
