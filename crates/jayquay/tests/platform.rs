//! `jayquay config apply`, `show` and `history` against a stand-in for the platform.

mod support;

use std::fs;

use insta::assert_snapshot;
use standin::platform as stand_in;
use standin::platform::Behaviour;
use standin::platform::Handle;
use support::shown;

const FIRST: &str = "examples/verblijfnet.yaml";
const SECOND: &str = "crates/jayquay/tests/changed.yaml";

async fn platform() -> Handle {
    let handle = stand_in::start(stand_in::Options::default()).await;
    handle.expect("the stand-in starts")
}

/// Runs a command against the platform, and hides what differs from run to run.
async fn config(handle: &Handle, arguments: &[&str]) -> String {
    let address = handle.address().to_string();
    let arguments = arguments.iter().map(ToString::to_string);
    let all: Vec<String> = ["config".to_owned()].into_iter().chain(arguments).collect();
    let platform = address.clone();
    let run = tokio::task::spawn_blocking(move || {
        let mut all: Vec<&str> = all.iter().map(String::as_str).collect();
        all.extend(["--platform", &platform]);
        shown(&all)
    });
    let text = run.await.expect("the run ends");
    hide_times(&text.replace(&address, "PLATFORM"))
}

/// Replaces words such as `2026-12-02T18:30:00Z`.
fn hide_times(text: &str) -> String {
    let is_time = |word: &str| word.len() == 20 && word.ends_with('Z') && word.as_bytes()[10] == b'T';
    let mut hidden = text.to_owned();
    for word in text.split(|c: char| c.is_whitespace() || c == '"') {
        if is_time(word) {
            hidden = hidden.replace(word, "TIME");
        }
    }
    hidden
}

#[tokio::test]
async fn a_document_is_applied_shown_and_listed() {
    let handle = platform().await;
    assert_snapshot!(config(&handle, &["show"]).await, @r"
    jayquay: the platform holds no document yet
    exit 1
    ");
    let first = config(&handle, &["apply", "--from", "0", FIRST]).await;
    assert_snapshot!(first.lines().rev().take(2).collect::<Vec<_>>().join("\n"), @r"
    exit 0
    revision 1, digest 7f3d00d9aaf72b6604fb6d8ff49fa028, is in force at the platform
    ");
    assert_snapshot!(config(&handle, &["apply", "--from", "1", "--dry-run", SECOND]).await, @r"
    from revision 1 to revision 2
      kind hold of service availability: weight changed from 5 to 6
      upstream search-3: state changed from active to draining
    revision 2, digest 2694a2cb233f54e9a4ffd67803881f7e, would come into force; nothing was changed
    exit 0
    ");
    assert_snapshot!(config(&handle, &["apply", "--from", "1", "--json", SECOND]).await, @r#"
    {
      "effect": "applied",
      "document": {
        "revision": 2,
        "digest": "2694a2cb233f54e9a4ffd67803881f7e",
        "author": "an",
        "approver": "joost",
        "reason": "Drain search-3"
      },
      "from": 1,
      "differences": [
        {
          "text": "kind hold of service availability: weight changed from 5 to 6",
          "subject": {
            "kind": [
              "availability",
              "hold"
            ]
          },
          "edit": {
            "changed": {
              "name": "weight",
              "from": "5",
              "to": "6"
            }
          }
        },
        {
          "text": "upstream search-3: state changed from active to draining",
          "subject": {
            "upstream": "search-3"
          },
          "edit": {
            "changed": {
              "name": "state",
              "from": "active",
              "to": "draining"
            }
          }
        }
      ]
    }
    exit 0
    "#);
    assert_snapshot!(config(&handle, &["history"]).await, @r"
    REVISION  WRITTEN AT            WRITER        APPROVER      DIGEST                            REASON
           2  TIME  an            joost         2694a2cb233f54e9a4ffd67803881f7e  Drain search-3
           1  TIME  an            joost         7f3d00d9aaf72b6604fb6d8ff49fa028  First document
    exit 0
    ");
    let shown = config(&handle, &["show", "--revision", "1"]).await;
    assert_snapshot!(shown.lines().take(4).collect::<Vec<_>>().join("\n"), @r"
    # revision 1, digest 7f3d00d9aaf72b6604fb6d8ff49fa028
    # written by an at TIME
    # author an, approver joost, reason: First document
    # Verblijfnet Groep: availability feeds, holds and photo sheets for tourist information points.
    ");
    assert_snapshot!(config(&handle, &["show", "--revision", "9"]).await, @r"
    jayquay: the platform does not hold revision 9
    exit 1
    ");
}

#[tokio::test]
async fn the_text_is_shown_byte_for_byte() {
    let handle = platform().await;
    let text = fs::read_to_string("../../examples/verblijfnet.yaml").expect("the example is committed");
    handle.put_document(text.clone());
    assert_eq!(config(&handle, &["show", "--text"]).await, format!("{text}exit 0"));
}

#[tokio::test]
async fn races_lost_answers_and_outages_are_told() {
    let handle = platform().await;
    let text = fs::read_to_string("../../examples/verblijfnet.yaml").expect("the example is committed");
    handle.put_document(text.clone());
    handle.put_document(
        text.replace("revision: 1", "revision: 2")
            .replace("author: an", "author: bea"),
    );
    assert_snapshot!(config(&handle, &["apply", "--from", "1", SECOND]).await, @r"
    jayquay: nothing was changed: revision 2 was made first by stand-in, approved by joost, because: First document
    That revision changed:
      nothing
    Your document would change in it:
      kind hold of service availability: weight changed from 5 to 6
      upstream search-3: state changed from active to draining
    Review again from revision 2.
    exit 1
    ");
    assert_snapshot!(config(&handle, &["apply", "--from", "2", SECOND]).await, @r"
    jayquay: nothing was changed: the document states revision 2, but what follows revision 2 is revision 3
    exit 1
    ");
    handle
        .behave(Behaviour {
            down: true,
            ..Behaviour::default()
        })
        .await;
    assert_snapshot!(config(&handle, &["apply", "--from", "1", SECOND]).await, @r"
    jayquay: nothing was changed: the platform is unavailable: Connection refused (os error 111)
    exit 1
    ");
    assert_snapshot!(config(&handle, &["history"]).await, @r"
    jayquay: the platform is unavailable: Connection refused (os error 111)
    exit 1
    ");
}

#[tokio::test]
async fn a_lost_answer_is_told_truthfully() {
    let handle = platform().await;
    handle.put_document(fs::read_to_string("../../examples/verblijfnet.yaml").expect("the example is committed"));
    let lose_answers = 1;
    handle
        .behave(Behaviour {
            lose_answers,
            ..Behaviour::default()
        })
        .await;
    assert_snapshot!(config(&handle, &["apply", "--from", "1", SECOND]).await, @r"
    from revision 1 to revision 2
      kind hold of service availability: weight changed from 5 to 6
      upstream search-3: state changed from active to draining
    revision 2, digest 2694a2cb233f54e9a4ffd67803881f7e, came into force at the platform, as was read back after the answer was lost
    exit 0
    ");
    assert_snapshot!(config(&handle, &["apply", "--from", "1", SECOND]).await, @r"
    from revision 1 to revision 2
      kind hold of service availability: weight changed from 5 to 6
      upstream search-3: state changed from active to draining
    revision 2, digest 2694a2cb233f54e9a4ffd67803881f7e, had come into force already; nothing was changed, and revision 2 is the newest
    exit 0
    ");
}
