//! `dotterelreach digest` prints the digest of a key in the form used in settings and declarations.

use std::{
    io::Write as _,
    process::{Command, Output, Stdio},
};

use base::Digest;

fn digest(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_dotterelreach"))
        .arg("digest")
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input.as_bytes()).unwrap();
    child.wait_with_output().unwrap()
}

macro_rules! digests {
    ($($name:ident: $input:literal => $key:literal,)*) => {$(
        #[test]
        fn $name() {
            let output = digest($input);
            let expected = format!("{}\n", Digest::of($key.as_bytes()));
            assert_eq!(String::from_utf8(output.stdout).unwrap(), expected);
            assert!(output.status.success());
        }
    )*};
}

digests! {
    line_end_is_not_part_of_the_key: "my-key\n" => "my-key",
    key_without_line_end: "my-key" => "my-key",
    spaces_are_part_of_the_key: " my key \r\n" => " my key ",
}

#[test]
fn empty_input_is_refused() {
    let output = digest("\n");
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("expected a key"));
}
