//! What the platform's bench asks of the process itself, looked up in /proc while the front node serves.

mod node;

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};
use std::thread;

use node::{soon, Node, CELLS, SECOND};
use salttally_platform::wire::kind;
use salttally_standin::platform::{Platform, Viewer};

fn proc(node: &Node, rest: &str) -> PathBuf {
    PathBuf::from(format!("/proc/{}/{rest}", node.child.id()))
}

fn text(node: &Node, rest: &str) -> String {
    fs::read_to_string(proc(node, rest)).unwrap_or_default()
}

fn entries(path: &Path) -> Vec<PathBuf> {
    fs::read_dir(path).unwrap().map_while(Result::ok).map(|entry| entry.path()).collect()
}

fn threads(node: &Node) -> Vec<PathBuf> {
    entries(&proc(node, "task"))
}

/// What the descriptors lead to.
fn open(node: &Node) -> Vec<String> {
    let links = entries(&proc(node, "fd"));
    links.iter().filter_map(|fd| fs::read_link(fd).ok()).map(|to| to.display().to_string()).collect()
}

fn children(node: &Node) -> String {
    threads(node).iter().filter_map(|task| fs::read_to_string(task.join("children")).ok()).collect()
}

/// Resident memory, kB.
fn resident(node: &Node) -> u64 {
    let status = text(node, "status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

/// Sockets of the process that are none of TCP or UDP over IPv4, or that somebody could come to over a Unix path.
fn strange_sockets(node: &Node) -> Vec<String> {
    let column = |table: &str, at: usize| -> BTreeSet<String> {
        let text = text(node, &format!("net/{table}"));
        text.lines().skip(1).filter_map(|line| line.split_whitespace().nth(at).map(str::to_owned)).collect()
    };
    let inet: BTreeSet<String> = column("tcp", 9).union(&column("udp", 9)).cloned().collect();
    // The pipes by which signals are heard are pairs with no path, which nobody else can reach.
    let unix = text(node, "net/unix");
    let nameless: BTreeSet<&str> = unix
        .lines()
        .skip(1)
        .map(|line| line.split_whitespace().collect::<Vec<_>>())
        .filter(|fields| fields.len() == 7)
        .map(|fields| fields[6])
        .collect();
    let sockets = open(node).into_iter().filter_map(|to| {
        to.strip_prefix("socket:[").and_then(|rest| rest.strip_suffix(']')).map(str::to_owned)
    });
    sockets.filter(|inode| !inet.contains(inode) && !nameless.contains(inode.as_str())).collect()
}

#[test]
fn run_is_one_process_by_exec_with_the_c_library_linked_in() {
    let deploy = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/balancer.toml");
    let deploy = fs::read_to_string(deploy).unwrap();
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")).unwrap();
    assert!(run.starts_with("exec ") && !run.contains([';', '&', '|']), "{run}");
    assert!(run.contains("salttallyd --platform"), "{run}");
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "linked", 256);
    let maps = text(&node, "maps");
    assert!(maps.contains("libc.so") && maps.contains("ld-linux"), "not linked dynamically");
    assert!(maps.contains("[vdso]"));
}

#[test]
fn a_burst_leaves_no_child_no_thread_no_strange_socket_and_no_memory_behind() {
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "burst", 512);
    let burst = |from: u64| {
        let mut viewers: Vec<Viewer> = (0..100).map(|_| node.viewer()).collect();
        for (at, viewer) in viewers.iter_mut().enumerate() {
            let first = from + at as u64 * 10;
            (first..first + 10).for_each(|id| viewer.send(&Viewer::request(id, "clip", CELLS)));
        }
        for viewer in &mut viewers {
            assert!((0..10).all(|_| viewer.next(5 * SECOND).is_some()), "each has its answer");
        }
        assert_eq!(children(&node), "");
        assert_eq!(strange_sockets(&node), Vec::<String>::new());
        for (at, viewer) in viewers.iter().enumerate() {
            let first = from + at as u64 * 10;
            (first..first + 10)
                .for_each(|id| viewer.send(&salttally_platform::wire::Message::release(id, 16)));
        }
        let ended =
            |viewer: &mut Viewer| viewer.next(5 * SECOND).is_some_and(|m| m.kind == kind::RELEASE_ACK);
        assert!(viewers.iter_mut().all(|viewer| (0..10).all(|_| ended(viewer))));
    };
    // The first one fills what the allocator keeps, the next ones must find it.
    burst(1_000);
    soon("viewers have gone", || open(&node).len() < 60);
    let (files, tasks, memory) = (open(&node).len(), threads(&node).len(), resident(&node));
    (2..5).for_each(|round| burst(round * 1_000));
    soon("descriptors are back", || open(&node).len() <= files + 6 * CELLS);
    assert_eq!(threads(&node).len(), tasks);
    assert!(resident(&node) < memory + 2_048, "{} kB, {memory} kB before", resident(&node));
    assert_eq!(strange_sockets(&node), Vec::<String>::new());
}

#[test]
fn threads_wait_when_there_is_nothing_to_do_and_none_for_long() {
    let platform = Platform::start(CELLS).unwrap();
    let node = Node::start(&platform, "waits", 256);
    let spent = || -> u64 {
        let fields = text(&node, "stat");
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
    let (ticks, before) = (spent(), switches());
    thread::sleep(3 * SECOND);
    let (ticks, turns) = (spent() - ticks, switches() - before);
    assert!(
        ticks <= 15,
        "{ticks} hundredths of a second of processor time in three seconds of nothing to do"
    );
    // It wakes each second at least, and nowhere spins.
    assert!((3..600).contains(&turns), "{turns} waits");
}
