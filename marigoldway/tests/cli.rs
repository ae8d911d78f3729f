//! Arguments, output and exit codes of the command line.

#[path = "scratch/samples.rs"]
mod samples;
mod scratch;

use std::fs;
use std::io::Read;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::Command;
use std::process::Output;

use marigoldway::cli::EXIT_FAILURE;
use marigoldway::cli::EXIT_OK;
use marigoldway::cli::EXIT_SETTINGS;
use marigoldway::cli::EXIT_USAGE;
use marigoldway::logging::pairs;
use samples::AGENT;
use samples::ENTRY;
use samples::write_settings;
use scratch::Scratch;

fn run(args: &[&str]) -> Output {
    let binary = env!("CARGO_BIN_EXE_marigoldway");
    Command::new(binary)
        .args(args)
        .output()
        .expect("the binary runs")
}

fn exit_code(output: &Output) -> u8 {
    let code = output.status.code().expect("an exit code");
    u8::try_from(code).expect("an exit code that fits in a byte")
}

fn path_str(path: &Path) -> &str {
    path.to_str().expect("a UTF-8 path")
}

#[test]
fn help_and_version_on_each_command() {
    let commands: [&[&str]; 12] = [
        &[],
        &["entry"],
        &["agent"],
        &["lists"],
        &["check"],
        &["check-config"],
        &["status"],
        &["keys"],
        &["keys", "new"],
        &["keys", "stage"],
        &["keys", "rotate"],
        &["keys", "certificate"],
    ];
    for command in commands {
        let help = run(&[command, &["--help"]].concat());
        assert_eq!(exit_code(&help), EXIT_OK, "{command:?}");
        assert!(
            String::from_utf8_lossy(&help.stdout).contains("Exit codes: 0"),
            "{command:?}"
        );
        let version = run(&[command, &["--version"]].concat());
        assert_eq!(exit_code(&version), EXIT_OK, "{command:?}");
        assert!(version.stdout.starts_with(b"marigoldway "), "{command:?}");
    }
}

#[test]
fn usage_rejects_invalid_arguments() {
    let invalid: [&[&str]; 11] = [
        &[],
        &["bogus"],
        &["entry"],
        &["entry", "--apply-limit=3", "a"],
        &["agent", "--apply-limit=soon", "a"],
        &["check", "a", "b"],
        &["check-config"],
        &["check-config", "a", "b"],
        &["status", "nowhere"],
        &["keys"],
        &["keys", "certificate"],
    ];
    for args in invalid {
        let output = run(args);
        assert_eq!(exit_code(&output), EXIT_USAGE, "{args:?}");
        assert!(!output.stderr.is_empty(), "{args:?}");
    }
}

#[test]
fn check_accepts_both_roles() {
    let scratch = Scratch::new("check");
    for (settings, role) in [(ENTRY, "role=entry"), (AGENT, "role=agent")] {
        let output = run(&["check", path_str(&write_settings(&scratch, settings))]);
        assert_eq!(exit_code(&output), EXIT_OK);
        assert!(String::from_utf8_lossy(&output.stdout).contains(role));
    }
}

#[test]
fn invalid_settings_start_no_process() {
    let scratch = Scratch::new("refuse");
    let file = write_settings(&scratch, &ENTRY.replace("domain = 1", "domain = 999"));
    for command in ["entry", "check"] {
        let output = run(&[command, path_str(&file)]);
        assert_eq!(exit_code(&output), EXIT_SETTINGS, "{command}");
        let expected = "[process] domain: read \"999\", expected a whole number from 0 to 255\n";
        assert!(
            String::from_utf8_lossy(&output.stderr).ends_with(expected),
            "{command}"
        );
    }
}

/// A configuration document with a route at this address.
fn config_document(version: u64, host: &str, kind: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"a","host":"{host}","prefix":"/80/",
        "type":"{kind}","service":"one"}}]}}"#
    )
}

/// Guards against exit codes by which a script would put an invalid document into the store.
#[test]
fn check_config_exit_codes() {
    let scratch = Scratch::new("check-config");
    let file = scratch.path("new.json");
    for (kind, code, text) in [
        ("safe", EXIT_OK, ""),
        ("odd", EXIT_SETTINGS, "error route=\"a\" field=\"type\""),
    ] {
        fs::write(&file, config_document(1, "198.18.0.1", kind)).expect("a file");
        let output = run(&["check-config", path_str(&file)]);
        assert_eq!(exit_code(&output), code, "{kind}");
        assert!(String::from_utf8_lossy(&output.stdout).starts_with(text));
    }
    let missing = run(&["check-config", path_str(&scratch.path("missing.json"))]);
    assert_eq!(exit_code(&missing), EXIT_FAILURE);
}

/// Guards against a large file that is read whole, or refused without its reason. The file is
/// sparse; `/dev/zero` has no size and never ends.
#[test]
fn check_config_refuses_large_files() {
    let scratch = Scratch::new("check-config-large");
    let file = scratch.path("large.json");
    let sparse = fs::File::create(&file).expect("a file");
    sparse.set_len(1 << 40).expect("a sparse file");
    for path in [path_str(&file), "/dev/zero"] {
        let output = run(&["check-config", path]);
        assert_eq!(exit_code(&output), EXIT_FAILURE, "{path}");
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert!(stderr.contains("larger than 16777216 octets"), "{stderr}");
    }
}

/// Guards against output that isn't one JSON document, and against lost differences.
#[test]
fn check_config_prints_json_differences() {
    let scratch = Scratch::new("check-config-json");
    let (new, current) = (scratch.path("new.json"), scratch.path("current.json"));
    fs::write(&new, config_document(2, "198.18.0.2", "safe")).expect("a file");
    fs::write(&current, config_document(1, "198.18.0.1", "safe")).expect("a file");
    let against = ["--against", path_str(&current)];
    let args = ["check-config", path_str(&new), against[0], against[1]];
    let text = run(&args);
    assert_eq!(exit_code(&text), EXIT_OK);
    let expected = "moved route=\"a\" addr=198.18.0.2:80 from=198.18.0.1:80\n";
    assert_eq!(String::from_utf8_lossy(&text.stdout), expected);

    let json = run(&[&args[..], &["--json"]].concat());
    assert_eq!(exit_code(&json), EXIT_OK);
    let json: serde_json::Value = serde_json::from_slice(&json.stdout).expect("one document");
    assert_eq!(json["findings"], serde_json::json!([]));
    assert_eq!(json["differences"][0]["kind"], "moved");
    assert_eq!(json["differences"][0]["from"], "198.18.0.1:80");

    // The document in force isn't newer than itself, and the other way round it is older.
    let back = run(&[
        "check-config",
        path_str(&current),
        "--against",
        path_str(&new),
    ]);
    assert_eq!(exit_code(&back), EXIT_SETTINGS);
}

#[test]
fn keys_new_keeps_existing_file() {
    let scratch = Scratch::new("keys");
    let file = scratch.path("more.ini");
    assert_eq!(exit_code(&run(&["keys", "new", path_str(&file)])), EXIT_OK);
    let mode = fs::metadata(&file).expect("the file").permissions().mode();
    assert_eq!(mode & 0o777, 0o600);

    let before = fs::read(&file).expect("the file");
    assert_eq!(
        exit_code(&run(&["keys", "new", path_str(&file)])),
        EXIT_FAILURE
    );
    assert_eq!(fs::read(&file).expect("the file"), before);
}

#[test]
fn status_fails_without_a_process() {
    // The listener is closed before the command runs, so that the connection is refused.
    let addr: SocketAddr = {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        listener.local_addr().expect("an address")
    };
    assert_eq!(
        exit_code(&run(&["status", &addr.to_string()])),
        EXIT_FAILURE
    );
}

#[test]
fn entry_fails_when_operator_address_is_in_use() {
    let scratch = Scratch::new("taken");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let addr = listener.local_addr().expect("an address").to_string();
    let output = run(&[
        "entry",
        path_str(&write_settings(
            &scratch,
            &ENTRY.replace("127.0.1.1:9001", &addr),
        )),
    ]);
    assert_eq!(exit_code(&output), EXIT_FAILURE);
    let mut stderr = String::new();
    output
        .stderr
        .as_slice()
        .read_to_string(&mut stderr)
        .expect("text");
    assert!(
        stderr.contains("operator endpoints could not start"),
        "{stderr}"
    );
}

#[test]
fn pairs_quotes_library_messages() {
    assert_eq!(
        pairs("event=start role=entry", "marigoldway::process"),
        "event=start role=entry"
    );
    let line = pairs("lost \"it\"\nagain", "quinn::endpoint");
    assert_eq!(line, "event=library message=\"lost \\\"it\\\" again\"");
}
