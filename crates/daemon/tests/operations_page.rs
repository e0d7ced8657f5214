//! Checks that the settings in `docs/OPERATIONS.md` for both sites are valid.

use std::process::{Command, Stdio};

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");
const SITES: usize = 2;
const HOSTS: usize = 8;
const VOTERS: usize = 3;

fn blocks() -> Vec<Vec<(&'static str, &'static str)>> {
    let blocks = PAGE.split("```env\n").skip(1).filter_map(|rest| rest.split("```").next());
    blocks.map(|block| block.lines().filter_map(|line| line.split_once('=')).collect()).collect()
}

#[test]
fn settings_of_every_host_of_both_sites_are_valid() {
    let blocks = blocks();
    assert_eq!(blocks.len(), SITES * (1 + HOSTS));
    for site in blocks.chunks(1 + HOSTS) {
        let (common, hosts) = site.split_first().unwrap();
        for host in hosts {
            let output = Command::new(env!("CARGO_BIN_EXE_dotterelreachd"))
                .env_clear()
                .envs(common.iter().chain(host).copied())
                .arg("--check")
                .stdin(Stdio::null())
                .output()
                .unwrap();
            assert!(output.status.success(), "{host:?}: {output:?}");
        }
        let votes = |host: &&Vec<(&str, &str)>| host.contains(&("DOTTERELREACH_VOTER", "true"));
        assert_eq!(hosts.iter().filter(votes).count(), VOTERS);
    }
}
