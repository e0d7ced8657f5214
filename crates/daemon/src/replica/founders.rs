//! The founders of the log, kept in the data folder for a restart before the log is founded.

use base::HostId;
use eyre::WrapErr as _;
use store::{Document, RealDisk};

use super::ReplicaConfig;

/// Folder of the kept founders in the data folder.
const FOLDER_NAME: &str = "founders";

/// Returns the founders that the settings name, else those that an earlier start here was given.
///
/// # Errors
///
/// Returns an error if the data folder can't be read or written.
pub(super) fn founders(cfg: &ReplicaConfig) -> eyre::Result<Vec<HostId>> {
    let path = cfg.data_dir.join(FOLDER_NAME);
    if cfg.founders.is_empty() && !path.exists() {
        return Ok(Vec::new());
    }
    let (document, kept) = match Document::open(&path, RealDisk) {
        Err(e) if e.is_damage() => {
            log::warn!(error:% = e; "kept founders are damaged and not used");
            return Ok(cfg.founders.clone());
        }
        opened => opened.wrap_err("can't open the kept founders")?,
    };
    if cfg.founders.is_empty() {
        return kept.map_or_else(|| Ok(Vec::new()), |kept| decode(&kept));
    }
    if kept.is_none() {
        document.write(&encode(&cfg.founders)).wrap_err("can't keep the founders")?;
    }
    Ok(cfg.founders.clone())
}

fn encode(founders: &[HostId]) -> Vec<u8> {
    let lines: Vec<&str> = founders.iter().map(HostId::as_str).collect();
    lines.join("\n").into_bytes()
}

fn decode(kept: &[u8]) -> eyre::Result<Vec<HostId>> {
    let text = std::str::from_utf8(kept).wrap_err("kept founders are not text")?;
    text.lines().map(|line| line.parse().wrap_err("a kept founder is not a host")).collect()
}
