//! Tests of operators' files: the examples, every kind of error, and random input.

use std::path::Path;
use std::path::PathBuf;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::sample::select;
use proptest::test_runner::Config;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;

use nutmegwalk_base::ErrorKind;
use nutmegwalk_base::secret::token_digest;
use nutmegwalk_config::Configuration;
use nutmegwalk_config::load;
use nutmegwalk_config::load_text;
use nutmegwalk_config::validate;

macro_rules! cases {
    ($($name:ident => $body:block)*) => { $(#[rstest::rstest] fn $name() $body)* };
}

const OPERATOR: &str = r#"
[operators.anna]
token_digest = "4193cd1c096c384e340d84b2b46654655b8151f73810484b8b0145f10dea8611"
"#;

const DATA_CENTRE: &str = r#"
[data_centres.ventspils]
region = "kurzeme"
racks.v1 = { workers = 3, shape = { cores = 128, memory_mb = 262144, accelerators = 8 } }
"#;

fn examples(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name)
}

fn customer(id: &str, guarantee: &str) -> String {
    let digest = token_digest(id);
    let block = if guarantee.is_empty() {
        String::new()
    } else {
        format!("[customers.{id}.guarantees.block]\n{guarantee}\n")
    };
    format!("[customers.{id}]\ntoken_digest = \"{digest}\"\ncalls_per_second = 1\n{block}")
}

fn guarantee(workers: u32, accelerators: u32, adjacency: &str, data_centre: &str) -> String {
    format!(
        "workers = {workers}\nshape = {{ cores = 1, memory_mb = 1, accelerators = {accelerators} }}\n\
         adjacency = \"{adjacency}\"\ndata_centre = \"{data_centre}\"\nreclaim_within_ms = 8800"
    )
}

/// Asserts that loading `text` fails with `kind` and that the detail contains all of `parts`.
fn assert_rejected(text: &str, kind: ErrorKind, parts: &[&str]) {
    let error = load_text("desk/nutmegwalk.toml", text).unwrap_err();
    assert_eq!(error.kind, kind, "{error}");
    for part in parts {
        assert!(
            error.detail.contains(part),
            "{part:?} is not in {:?}",
            error.detail
        );
    }
}

/// Asserts that loading `text` fails with `invalid_configuration` and that the detail contains all of `parts`.
fn assert_invalid(text: &str, parts: &[&str]) {
    assert_rejected(text, ErrorKind::InvalidConfiguration, parts);
}

/// A temporary directory, removed on drop.
struct TempDirectory(PathBuf);

impl TempDirectory {
    fn new(files: &[(&str, &str)]) -> Self {
        let name = nutmegwalk_base::new_id("nutmegwalk-config");
        let root = std::env::temp_dir().join(&*name);
        for (path, text) in files {
            let path = root.join(path);
            std::fs::create_dir_all(path.parent().unwrap()).unwrap();
            std::fs::write(path, text).unwrap();
        }
        Self(root)
    }
}

impl Drop for TempDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Nesting that overflows the stack of a decoder that recurses without a limit.
const DEEP_NESTING: usize = 1_000_000;

cases! {
    // Guards against an odd file that ends the process that reads it.
    odd_files_are_rejected => {
        let number = |value: &str| format!("{OPERATOR}[data_centres.a]\nregion = \"r\"\nracks.v1 = {{ workers = {value}, shape = {{ cores = 1, memory_mb = 1, accelerators = 1 }} }}\n");
        for text in [
            format!("a = {}", "[".repeat(DEEP_NESTING)),
            format!("a = {}{}", "[".repeat(DEEP_NESTING), "]".repeat(DEEP_NESTING)),
            format!("a = {}", "{a=".repeat(DEEP_NESTING)),
            format!("{} = 1", vec!["a"; DEEP_NESTING].join(".")),
            format!("[{}]", vec!["a"; DEEP_NESTING].join(".")),
            number("1e400"),
            number("-1"),
            number("1.5"),
            number("nan"),
            number("18446744073709551616"),
            number("4294967296"),
            format!("{OPERATOR}{OPERATOR}"),
            "\u{0}".to_owned(),
            "[operators".to_owned(),
        ] {
            let error = load_text("desk/nutmegwalk.toml", &text).unwrap_err();
            assert_eq!(error.kind, ErrorKind::InvalidConfiguration, "{text:.60}");
        }
    }
}

cases! {
    // Guards against example files that are rejected, or whose tokens are not as documented.
    examples_are_valid => {
        for (deployment, service, data_centres) in [
            ("kurzeme", "plank-desk", ["ventspils", "valmiera", "rezekne"]),
            ("lamacal", "spoil-tickets", ["recife-suape", "fortaleza-pecem", "salvador-aratu"]),
        ] {
            let configuration = load(&[examples(deployment)]).unwrap();
            assert_eq!(configuration.version, 0);
            assert_eq!(configuration.customers.len(), 4);
            assert_eq!((configuration.services[service].slots, configuration.services[service].connections), (8, 64));
            for data_centre in data_centres {
                assert!(configuration.data_centres[data_centre].in_service);
            }
            let racks = configuration.data_centres.values().flat_map(|data_centre| data_centre.racks.values());
            assert_eq!(racks.map(|rack| rack.workers).sum::<u32>(), 10);
            for (name, customer) in &configuration.customers {
                assert_eq!(customer.token_digest, token_digest(&format!("example-{name}-token")));
                assert!(!customer.guarantees.is_empty());
            }
            for (name, operator) in &configuration.operators {
                assert_eq!(operator.token_digest, token_digest(&format!("example-{name}-token")));
            }
        }
    }

    // Guards against an error without its location, so that the operator has to search for it.
    errors_name_file_line_and_remedy => {
        assert_invalid("\n[services.desk]\nslot = 8\n", &["desk/nutmegwalk.toml:3: unknown field `slot`", "`slots`"]);
        assert_invalid("[service.desk]\n", &["desk/nutmegwalk.toml:1: unknown field `service`", "`services`"]);
        assert_invalid("[services.desk]\nslots = 8\n", &["nutmegwalk.toml:1: missing field `connections`"]);
        assert_invalid("[services.desk]\nslots = -1\n", &["nutmegwalk.toml:2: "]);
        assert_invalid("[services.desk\n", &["nutmegwalk.toml:1: "]);
        assert_invalid("[data_centres.a]\nregion = 'b'\nin_service = false\nracks = {}\n", &[":3: unknown field `in_service`"]);
    }

    // Guards against an entry without a token, with a malformed digest, or with the token of another entry.
    tokens_are_checked => {
        assert_invalid("\n[customers.mill]\ncalls_per_second = 1\n", &[":2: customer mill lacks token_digest; add"]);
        assert_invalid("[operators.anna]\n", &[":1: operator anna lacks token_digest; add"]);
        assert_invalid("[operators.anna]\ntoken_digest = \"secret\"\n", &["not a BLAKE3 digest", "64 lower-case"]);
        let twice = format!("{OPERATOR}{}", OPERATOR.replace("anna", "juris"));
        assert_invalid(&twice, &[":5: operator juris: token_digest is also that of operator anna"]);
        assert_invalid(DATA_CENTRE, &["there is no operator"]);
    }

    // Guards against accepting a guarantee that can never be fulfilled.
    guarantees_are_checked_one_by_one => {
        let base = format!("{OPERATOR}{DATA_CENTRE}");
        let with = |text: &str| format!("{base}{}", customer("mill", text));
        assert_invalid(&with(&guarantee(1, 1, "rack", "riga")), &[
            "guarantee mill/block: there is no data centre riga; known data centres: ventspils",
        ]);
        assert_invalid(&with(&guarantee(4, 1, "data_centre", "ventspils")), &[
            "more than empty ventspils can hold", "rack v1 has 3 workers",
        ]);
        assert_invalid(&with(&guarantee(1, 9, "data_centre", "ventspils")), &["more than empty ventspils can hold"]);
        assert_invalid(&with(&guarantee(0, 1, "rack", "ventspils")), &["workers is 0; use 1 or more"]);
        assert_invalid(&with(&guarantee(1, 1, "row", "ventspils")), &["unknown variant `row`", "`rack`"]);
        let early = guarantee(1, 1, "rack", "ventspils").replace("8800", "100");
        assert_invalid(&with(&early), &["reclaim_within_ms is 100", "8000"]);
        let same = format!("{}\nstandby = \"ventspils\"", guarantee(1, 1, "rack", "ventspils"));
        assert_invalid(&with(&same), &["standby is the data centre itself"]);
        let unknown = format!("{}\nstandby = \"riga\"", guarantee(1, 1, "rack", "ventspils"));
        assert_invalid(&with(&unknown), &["there is no data centre riga"]);
        assert!(load_text("x", &with(&guarantee(3, 8, "rack", "ventspils"))).is_ok());
    }

    // Guards against names that break table keys, and limits that make a service unusable.
    names_and_limits_are_checked => {
        assert_invalid(&format!("{OPERATOR}{}", DATA_CENTRE.replace("ventspils", "\"vents/pils\"")), &["is not a name; use"]);
        assert_invalid(&format!("{OPERATOR}{}", DATA_CENTRE.replace("ventspils", "dispatch")), &["reserved"]);
        assert_invalid(&format!("{OPERATOR}{}", DATA_CENTRE.replace("workers = 3", "workers = 0")), &["rack v1 has no workers"]);
        let huge = DATA_CENTRE.replace("workers = 3", "workers = 4294967295");
        let text = format!("{OPERATOR}{huge}{}", customer("mill", &guarantee(1, 1, "rack", "ventspils")));
        assert_invalid(&text, &["4294967295 workers"]);
        assert_invalid(&format!("{OPERATOR}[services.desk]\nslots = 8\nconnections = 4\ndeadline_ms = 1\n"), &[
            "4 connections cannot fill 8 slots",
        ]);
        assert_invalid(&format!("{OPERATOR}[services.desk]\nslots = 0\nconnections = 4\ndeadline_ms = 0\n"), &[
            "slots is 0", "deadline_ms is 0",
        ]);
    }

    // Guards against an entry that silently replaces the same entry of another file.
    entry_in_two_files_is_rejected => {
        let mill = customer("mill", "");
        let directory = TempDirectory::new(&[
            ("operators.toml", OPERATOR),
            ("a/sites.toml", DATA_CENTRE),
            ("b/sites.toml", DATA_CENTRE),
            ("a/mill.toml", &mill),
            ("b/mill.toml", &mill),
            ("a/notes.txt", "not read"),
        ]);
        let error = load(std::slice::from_ref(&directory.0)).unwrap_err();
        let sites = directory.0.join("b/sites.toml").display().to_string();
        let first = directory.0.join("a/sites.toml").display().to_string();
        assert!(error.detail.contains(&format!("{sites}:2: data centre ventspils is already in {first}:2")), "{error}");
        assert!(error.detail.contains("customer mill is already in"), "{error}");
        // A directory that is given twice is loaded once.
        let once = directory.0.join("a");
        assert!(load(&[once.clone(), once, directory.0.join("operators.toml")]).is_ok());
    }

    // Guards against an empty directory or an unreadable file that is published as an empty configuration.
    missing_files_are_rejected => {
        let directory = TempDirectory::new(&[("notes.txt", "x")]);
        let error = load(std::slice::from_ref(&directory.0)).unwrap_err();
        assert!(error.detail.contains("no *.toml file under"), "{error}");
        let error = load(&[directory.0.join("absent.toml")]).unwrap_err();
        assert!(error.detail.contains("absent.toml: cannot be read"), "{error}");
    }

    // Guards against accepting guarantees that fit separately but not together, also in a standby data centre.
    conflicting_guarantees_are_rejected => {
        let two_data_centres = format!("{OPERATOR}{DATA_CENTRE}{}", DATA_CENTRE.replace("ventspils", "valmiera"));
        let a = customer("alder", &guarantee(3, 5, "rack", "ventspils"));
        let b = customer("birch", &guarantee(2, 5, "data_centre", "ventspils"));
        assert_rejected(&format!("{two_data_centres}{a}{b}"), ErrorKind::GuaranteesClash, &[
            "guarantee birch/block: ventspils cannot hold birch/block together with alder/block; reduce",
        ]);
        let b = customer("birch", &format!("{}\nstandby = \"ventspils\"", guarantee(2, 5, "data_centre", "valmiera")));
        assert_rejected(&format!("{two_data_centres}{a}{b}"), ErrorKind::GuaranteesClash, &["ventspils cannot hold birch/block"]);
        let b = customer("birch", &guarantee(3, 3, "rack", "ventspils"));
        assert!(load_text("x", &format!("{two_data_centres}{a}{b}")).is_ok());
    }

    // Guards against accepting a rack-adjacent guarantee that only fits across several racks.
    rack_adjacency_needs_one_rack => {
        let racks = DATA_CENTRE.replace("workers = 3", "workers = 2");
        let line = racks.lines().last().unwrap().replace("v1", "v2");
        let base = format!("{OPERATOR}{racks}{line}\n");
        let text = |adjacency| format!("{base}{}", customer("mill", &guarantee(3, 8, adjacency, "ventspils")));
        assert_invalid(&text("rack"), &["more than empty ventspils can hold"]);
        assert!(load_text("x", &text("data_centre")).is_ok());
    }

    // Guards against a panic caused by a damaged file.
    random_input_never_panics => {
        let fragments = vec![
            "[", "]", "[[", "=", "\n", "\"", "{", "}", ".", ",", "0", "-1", "99999999999999999999", "customers", "services",
            "data_centres", "operators", "racks", "guarantees", "shape", "workers", "cores", "mill", "token_digest",
            "region", "\u{0}", "ē", "#", "'''", "true", "1e400", "inf", " ",
        ];
        let config = Config { cases: 2000, failure_persistence: None, ..Config::default() };
        let rng = TestRng::from_seed(proptest::test_runner::RngAlgorithm::ChaCha, &[7; 32]);
        let mut runner = TestRunner::new_with_rng(config, rng);
        runner.run(&vec(select(fragments), 0..60), |parts| {
            let _ = load_text("x", &parts.concat());
            Ok(())
        }).unwrap();
        runner.run(&vec(any::<u8>(), 0..200), |bytes| {
            let _ = load_text("x", &String::from_utf8_lossy(&bytes));
            Ok(())
        }).unwrap();
        // One random change in a whole file reaches the checks that run after parsing.
        let example = std::fs::read_to_string(examples("kurzeme/sites.toml")).unwrap();
        runner.run(&(0..example.len(), any::<u8>()), |(position, byte)| {
            let mut bytes = example.clone().into_bytes();
            bytes[position] = byte;
            let _ = load_text("x", &String::from_utf8_lossy(&bytes));
            Ok(())
        }).unwrap();
    }

    // Guards against an empty document, with which no operator could publish again.
    empty_document_is_rejected => {
        assert_eq!(validate(&Configuration::default()).unwrap_err().kind, ErrorKind::InvalidConfiguration);
    }
}
