//! Processor time of an idle front node with sixteen times as many media servers.

mod node;

use std::fs;
use std::thread;
use std::time::Duration;

use node::scripted::ScriptedServers;
use node::{Node, SECOND};
use serde_json::{json, Value};

/// Media servers of a typical fleet, and of the largest one that the platform's page names.
const TYPICAL_SERVERS: usize = 200;
const MAX_SERVERS: usize = 3_200;
const SERVERS_PER_RACK: usize = 9;
/// Growth of processor time that the platform's page allows: a factor, a constant, and seconds for each thousand servers.
const CPU_FACTOR: f64 = 1.4;
const CPU_FIXED_SECONDS: f64 = 0.02;
const CPU_SECONDS_PER_THOUSAND: f64 = 0.03;

/// Configures this many media servers in racks, all with the address of the first scripted server.
fn configure_racks(config: &mut Value, server_count: usize) {
    let host = config["known"]["updates"][0]["endpoints"]["hosts"][0].clone();
    let hosts = (0..server_count).map(|at| {
        let mut host = host.clone();
        host["host"] = json!(format!("s-{:08x}", at + 1));
        host["block"] = json!(at);
        host
    });
    config["known"]["updates"][0]["endpoints"]["hosts"] = hosts.collect();
    let domain = &mut config["settings"]["domain"];
    domain["positions"] = json!(server_count);
    domain["racks"] = json!(server_count.div_ceil(SERVERS_PER_RACK));
    domain["uplink_kb"] = json!(600_000);
}

/// Processor time of a node since its start, in seconds.
fn cpu_seconds(node: &Node) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{}/schedstat", node.child.id())).unwrap();
    stat.split_whitespace().next().unwrap().parse::<f64>().unwrap() / 1e9
}

fn idle_cpu_seconds(server_count: usize, span: Duration) -> f64 {
    let mut servers = ScriptedServers::new(1);
    let node =
        servers.start_node(&format!("scale-{server_count}"), |config| configure_racks(config, server_count));
    let before = cpu_seconds(&node);
    thread::sleep(span);
    cpu_seconds(&node) - before
}

#[test]
fn idle_processor_time_stays_within_the_allowed_growth_with_servers_in_racks() {
    let typical = idle_cpu_seconds(TYPICAL_SERVERS, 3 * SECOND);
    let largest = idle_cpu_seconds(MAX_SERVERS, 3 * SECOND);
    let allowed =
        CPU_FACTOR * typical + CPU_FIXED_SECONDS + CPU_SECONDS_PER_THOUSAND * MAX_SERVERS as f64 / 1_000.0;
    assert!(
        largest <= allowed,
        "{largest:.3} s with {MAX_SERVERS} servers, {typical:.3} s with {TYPICAL_SERVERS}, {allowed:.3} s allowed"
    );
}
