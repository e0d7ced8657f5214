//! Atomic replacement of a file.

use std::fs;

use store::{Document, RealDisk};
use tempfile::tempdir;

#[test]
fn last_content_is_read_back() {
    let folder = tempdir().unwrap();
    let (document, none) = Document::open(folder.path(), RealDisk).unwrap();
    assert_eq!(none, None);
    document.write(b"first").unwrap();
    document.write(b"second").unwrap();
    drop(document);
    let (_, content) = Document::open(folder.path(), RealDisk).unwrap();
    assert_eq!(content.as_deref(), Some(&b"second"[..]));
}

#[test]
fn incomplete_replacement_keeps_the_content() {
    let folder = tempdir().unwrap();
    let (document, _) = Document::open(folder.path(), RealDisk).unwrap();
    document.write(b"first").unwrap();
    drop(document);
    fs::write(folder.path().join("document.tmp"), b"half").unwrap();
    let (_, content) = Document::open(folder.path(), RealDisk).unwrap();
    assert_eq!(content.as_deref(), Some(&b"first"[..]));
}

#[test]
fn damaged_content_is_reported() {
    let folder = tempdir().unwrap();
    let (document, _) = Document::open(folder.path(), RealDisk).unwrap();
    document.write(b"first").unwrap();
    drop(document);
    let path = folder.path().join("document");
    let mut bytes = fs::read(&path).unwrap();
    *bytes.last_mut().unwrap() ^= 1;
    fs::write(&path, bytes).unwrap();
    assert!(Document::open(folder.path(), RealDisk).unwrap_err().is_damage());
}
