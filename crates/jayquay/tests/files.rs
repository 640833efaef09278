//! `jayquay config check` and `diff`, on files alone.

mod support;

use insta::assert_snapshot;
use support::shown;

#[test]
fn check_takes_the_examples() {
    assert_snapshot!(shown(&["config", "check", "examples/verblijfnet.yaml"]), @r"
    revision 1 is valid: 2 services, 18 upstreams, digest 7f3d00d9aaf72b6604fb6d8ff49fa028
    exit 0
    ");
    assert_snapshot!(shown(&["config", "check", "--json", "examples/coral-table.yaml"]), @r#"
    {
      "document": {
        "revision": 1,
        "digest": "e49a6d55970a7d2dbe4bb5c47d72164f",
        "author": "mia",
        "approver": "liam",
        "reason": "First document"
      },
      "problems": []
    }
    exit 0
    "#);
    assert_snapshot!(shown(&["config", "check", "--settings", "examples/settings.yaml"]), @r"
    the settings of entry-1 are valid
    exit 0
    ");
}

#[test]
fn check_tells_every_problem_and_refuses() {
    assert_snapshot!(shown(&["config", "check", "crates/jayquay/tests/broken.yaml"]), @r"
    crates/jayquay/tests/broken.yaml:2:32: change.approver: the approver must be somebody else than the author
    crates/jayquay/tests/broken.yaml:3:8: zones: this must have from 1 to 100 items
    crates/jayquay/tests/broken.yaml:4:11: services: this must be a list
    exit 1
    ");
    assert_snapshot!(shown(&["config", "check", "--json", "crates/jayquay/tests/broken.yaml"]), @r#"
    {
      "document": null,
      "problems": [
        {
          "line": 2,
          "column": 32,
          "field": "change.approver",
          "message": "the approver must be somebody else than the author"
        },
        {
          "line": 3,
          "column": 8,
          "field": "zones",
          "message": "this must have from 1 to 100 items"
        },
        {
          "line": 4,
          "column": 11,
          "field": "services",
          "message": "this must be a list"
        }
      ]
    }
    exit 1
    "#);
    assert_snapshot!(shown(&["config", "check", "--settings", "examples/verblijfnet.yaml"]), @r"
    examples/verblijfnet.yaml:2:1: no such field: `revision`; allowed: `name`, `zone`, `listen`, `advertise`, `platform`, `peers`, `secrets`, `limits`, `stop-within-ms` and `token-lifetime-s`
    examples/verblijfnet.yaml:2:1: the field `name` is missing
    examples/verblijfnet.yaml:2:1: the field `zone` is missing
    examples/verblijfnet.yaml:2:1: the field `listen` is missing
    examples/verblijfnet.yaml:2:1: the field `platform` is missing
    examples/verblijfnet.yaml:2:1: the field `secrets` is missing
    examples/verblijfnet.yaml:3:1: no such field: `change`; allowed: `name`, `zone`, `listen`, `advertise`, `platform`, `peers`, `secrets`, `limits`, `stop-within-ms` and `token-lifetime-s`
    examples/verblijfnet.yaml:5:1: no such field: `zones`; allowed: `name`, `zone`, `listen`, `advertise`, `platform`, `peers`, `secrets`, `limits`, `stop-within-ms` and `token-lifetime-s`
    examples/verblijfnet.yaml:10:1: no such field: `services`; allowed: `name`, `zone`, `listen`, `advertise`, `platform`, `peers`, `secrets`, `limits`, `stop-within-ms` and `token-lifetime-s`
    exit 1
    ");
    assert_snapshot!(shown(&["config", "check", "no-such-file.yaml"]), @r"
    jayquay: no-such-file.yaml cannot be read: No such file or directory (os error 2)
    exit 1
    ");
}

#[test]
fn diff_is_for_two_valid_documents() {
    let old = "examples/verblijfnet.yaml";
    assert_snapshot!(shown(&["config", "diff", old, "crates/jayquay/tests/changed.yaml"]), @r"
    from revision 1 to revision 2
      kind hold of service availability: weight changed from 5 to 6
      upstream search-3: state changed from active to draining
    exit 0
    ");
    assert_snapshot!(shown(&["config", "diff", "--json", old, old]), @r#"
    {
      "old": {
        "revision": 1,
        "digest": "7f3d00d9aaf72b6604fb6d8ff49fa028",
        "author": "an",
        "approver": "joost",
        "reason": "First document"
      },
      "new": {
        "revision": 1,
        "digest": "7f3d00d9aaf72b6604fb6d8ff49fa028",
        "author": "an",
        "approver": "joost",
        "reason": "First document"
      },
      "differences": []
    }
    exit 0
    "#);
    assert_snapshot!(shown(&["config", "diff", old, "crates/jayquay/tests/broken.yaml"]), @r"
    crates/jayquay/tests/broken.yaml:2:32: change.approver: the approver must be somebody else than the author
    crates/jayquay/tests/broken.yaml:3:8: zones: this must have from 1 to 100 items
    crates/jayquay/tests/broken.yaml:4:11: services: this must be a list
    exit 1
    ");
}

#[test]
fn bad_usage_has_its_own_exit_code() {
    assert_snapshot!(shown(&[]), @r"
    jayquay: expected `COMMAND ...`, pass `--help` for usage information
    exit 2
    ");
    assert_snapshot!(shown(&["config", "check"]), @r"
    jayquay: expected `FILE`, pass `--help` for usage information
    exit 2
    ");
    assert_snapshot!(shown(&["config", "apply", "--from", "x", "--platform", "127.0.0.1:1", "f"]), @r"
    jayquay: couldn't parse `x`: not an identifier: invalid digit found in string
    exit 2
    ");
    assert_snapshot!(shown(&["config", "show", "--platform", "platform:1"]), @r"
    jayquay: couldn't parse `platform:1`: invalid socket address syntax, such as 10.20.9.1:7000, or several with
    commas between
    exit 2
    ");
}

#[test]
fn help_lists_what_works_and_gives_examples() {
    assert_snapshot!(shown(&["config", "--help"]), @r"
    Check, compare, apply and show the configuration document.

    Usage: jayquay config COMMAND ...

    Available options:
        -h, --help  Prints help information

    Available commands:
        check       Check a document and tell every problem in it.
        diff        Tell what differs between two documents.
        apply       Bring a document into force, in place of the revision that was reviewed.
        show        Show the document in force, or an earlier revision.
        history     List the revisions: who changed what, when and why.

    exit 0
    ");
    assert_snapshot!(shown(&["config", "apply", "--help"]), @r"
    Bring a document into force, in place of the revision that was reviewed.

    Usage: jayquay config apply --platform=ADDRESSES --from=REVISION [--dry-run] [--json] FILE

    The document states the revision that follows the one that was reviewed. If somebody else has made
    it meanwhile, nothing is changed. The same file may be applied again after a failure: it never comes
    into force twice.

    Available positional items:
        FILE                      The document.

    Available options:
            --platform=ADDRESSES  The platform's addresses, with commas between.
                                  [env:JAYQUAY_PLATFORM: N/A]
            --from=REVISION       The revision that was reviewed, 0 if there is no document yet.
            --dry-run             Tell what would change, and change nothing.
            --json                Print JSON for scripts.
        -h, --help                Prints help information

    Examples:
     jayquay config apply --from 11 --dry-run --platform 10.20.9.1:7000 changed.yaml
     jayquay config apply --from 11 --platform 10.20.9.1:7000 changed.yaml

    exit 0
    ");
}

#[test]
fn the_shell_completes_commands() {
    assert_snapshot!(shown(&["--bpaf-complete-rev=8", "config", "a"]), @r"
    COMPREPLY+=( 'apply' )

    exit 0
    ");
    let script = shown(&["--bpaf-complete-style-bash"]);
    assert!(script.contains("complete"), "{script}");
}
