//! Edits of a declaration keep it valid TOML.

use cli::{EditableDeclaration, NewException, line_diff};
use proptest::{prelude::*, test_runner::RngSeed};
use yare::parameterized;

fn exception(reason: &str) -> NewException {
    NewException {
        id: "e-1".parse().unwrap(),
        reason: reason.into(),
        until: None,
        scope: vec![("model".into(), "m".into())],
        set: vec![("drain".into(), "true".into())],
    }
}

#[test]
fn identical_exception_is_added_once() {
    let mut edit = EditableDeclaration::default();
    edit.add_exception(exception("r")).unwrap();
    edit.add_exception(exception("r")).unwrap();
    assert_eq!(edit.exceptions().count(), 1);
    assert!(edit.add_exception(exception("other")).is_err());
    edit.remove_exception(&"e-1".parse().unwrap());
    assert_eq!(edit, EditableDeclaration::default());
}

#[test]
fn declarations_on_the_operators_page_are_valid() {
    let page = include_str!("../../../docs/OPERATIONS.md");
    let blocks = page.split("```toml\n").skip(1).filter_map(|rest| rest.split("```").next());
    let declarations: Vec<EditableDeclaration> =
        blocks.map(|block| EditableDeclaration::parse(block).unwrap()).collect();
    assert_eq!(declarations.len(), 2);
    for declaration in declarations {
        assert_eq!(declaration.exceptions().count(), 3);
    }
}

#[parameterized(
    not_toml = { "[" },
    defaults_list = { "defaults = []" },
    exceptions_table = { "[exceptions]" },
    exceptions_of_numbers = { "exceptions = [1]" },
)]
fn malformed_declaration_is_refused(text: &str) {
    assert!(EditableDeclaration::parse(text).is_err());
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn edited_declaration_round_trips(key in "(?s).{0,20}", value in "(?s).{0,20}|[0-9\\[\\]\"{}=, ]{0,9}") {
        let mut edit = EditableDeclaration::parse("[defaults]\na = 1\n").unwrap();
        edit.set_default(&key, &value);
        prop_assert_eq!(EditableDeclaration::parse(&edit.to_toml()).unwrap(), edit);
    }

    #[test]
    fn diff_contains_both_texts(old in "[abc\n]{0,30}", new in "[abc\n]{0,30}") {
        let diff = line_diff(&old, &new);
        let side = |prefixes: [&str; 2]| -> Vec<String> {
            let lines = diff.lines().filter(|line| prefixes.contains(&&line[..2]));
            lines.map(|line| line[2..].to_owned()).collect()
        };
        prop_assert_eq!(side(["  ", "- "]), old.lines().collect::<Vec<_>>());
        prop_assert_eq!(side(["  ", "+ "]), new.lines().collect::<Vec<_>>());
    }
}
