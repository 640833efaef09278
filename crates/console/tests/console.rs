//! Tests of the console over HTTP.

mod support;

use std::time::Duration;

use insta::assert_snapshot;
use reqwest::Method;
use reqwest::StatusCode;
use reqwest::header::COOKIE;
use reqwest::header::HOST;
use support::Browser;
use support::DOCUMENT;
use support::fetch;
use support::start;

const SERVICE: &str = "/services/0";
const CHANGE: [(&str, &str); 3] = [
    ("change.author", "an"),
    ("change.approver", "joost"),
    ("change.reason", "Say \"hello\" & <wave>"),
];

/// Returns the document text that the console would apply.
async fn text(browser: &Browser) -> String {
    browser.get("/document.yaml").await.text
}

#[tokio::test]
async fn forms_edit_and_apply_the_document() {
    let (handle, browser) = start().await;
    let slots = [
        ("services[0].upstreams[0].slots", "5"),
        ("services[0].sharing.affinity", "request"),
    ];
    browser.submit(SERVICE, SERVICE, "save", &slots).await;
    let review = browser.submit("/review", "/review", "save", &CHANGE).await;
    assert_snapshot!(review.between("<ul class=\"differences\">", "</ul>"), @"<li>service availability: affinity changed from flow to request</li><li>upstream search-1: slots changed from 2 to 5</li>");
    let applied = browser.submit("/review", "/apply", "apply", &CHANGE).await;
    assert_eq!(applied.status, StatusCode::OK);
    assert_snapshot!(applied.main_text(), @r"
    Applied
    Revision 2 is in force at the platform.
    Digest
    4a4c4a66fbce81c6d8cc12bb012b0620
    service availability: affinity changed from flow to request
    upstream search-1: slots changed from 2 to 5
    Overview
    ");
    let held = handle
        .object(&platform::api::Key::document())
        .expect("the document is there");
    assert_snapshot!(held.value.as_str().expect("the document is text"), @r#"
    revision: 2
    change:
      author: "an"
      approver: "joost"
      reason: "Say \"hello\" & <wave>"

    zones:
      - {name: brugge, region: flanders}
    services:
      - name: availability
        addresses: ["10.1.0.1:4000"]
        sharing:
          affinity: request
          prefer-local-zone: true
          queue-limit: 200
          retry-budget-percent: 10
          slow-start-ms: 5000
        kinds:
          - {name: feed, weight: 1, idempotent: true}
        upstreams:
          - {name: search-1, zone: brugge, address: "10.2.0.1:8080", slots: 5, state: active}
          - {name: search-2, zone: brugge, address: "10.2.0.2:8080", slots: 2, state: draining}
    "#);
    assert_snapshot!(browser.get("/").await.main_text(), @r"
    Configuration
    Reviewed revision
    2
    Digest
    4a4c4a66fbce81c6d8cc12bb012b0620
    Author
    an
    Approver
    joost
    Reason
    Say &quot;hello&quot; &amp; &lt;wave&gt;
    Draft
    Service
    Addresses
    Kinds
    Upstreams
    Problems
    availability
    10.1.0.1:4000
    1
    2
    0
    Remove
    Add service
    Show the draft as the text of a document
    Drop the draft, and load the platform's document
    ");
}

#[tokio::test]
async fn unchanged_draft_equals_the_document() {
    let (_handle, browser) = start().await;
    browser.submit("/review", "/review", "save", &CHANGE).await;
    let before = config::parse(DOCUMENT).expect("the text is valid");
    let after = config::parse(&text(&browser).await).expect("the draft is valid");
    assert_eq!(before.services, after.services);
    assert_eq!(before.zones, after.zones);
}

#[tokio::test]
async fn problems_are_shown_at_their_field() {
    let (handle, browser) = start().await;
    let values = [
        ("services[0].name", "1 <b>"),
        ("services[0].addresses[0]", "10.1.0.1"),
        ("services[0].sharing.queue-limit", "-1"),
        ("services[0].kinds[0].weight", "0x1"),
        ("services[0].upstreams[1].zone", "\"gent\", slots: 3, {"),
        ("services[0].upstreams[1].address", "10.2.0.1:8080"),
    ];
    let page = browser
        .submit(SERVICE, SERVICE, "add services[0].upstreams", &values)
        .await;
    let fields = values.map(|(field, _)| field);
    let problems = fields.map(|field| format!("{field}: {}", page.problems(field)));
    assert_snapshot!(problems.join("\n"), @r"
    services[0].name: a name starts with a lower-case letter
    services[0].addresses[0]: this must be an IP address with a port, such as &quot;10.1.0.1:4000&quot;
    services[0].sharing.queue-limit: this must be a whole number
    services[0].kinds[0].weight: this must be a whole number
    services[0].upstreams[1].zone: a name starts with a lower-case letter
    services[0].upstreams[1].address: `10.2.0.1:8080` must be unique, but is already used at services[0].upstreams[0].address (line 21)
    ");
    assert!(page.text.contains("value=\"1 &lt;b&gt;\""));
    assert!(!page.text.contains("1 <b>"));
    assert_eq!(
        page.problems("services[0].upstreams[2].name"),
        "a name may not be empty"
    );
    let refused = browser.submit("/review", "/apply", "apply", &[]).await;
    assert_eq!(
        refused.problems("change.author"),
        "this must have from 1 to 100 characters"
    );
    assert_snapshot!(refused.main_text().lines().take(4).collect::<Vec<_>>().join("\n"), @r"
    Review and apply
    What changes from revision 1 to revision 2
    The draft has problems, so it cannot be compared or applied yet.
    Problems
    ");
    assert_eq!(handle.counts().writes, 0);
}

/// The initial values of the inputs of an upstream.
const UPSTREAM: [(&str, &str); 5] = [
    ("services[0].upstreams[0].name", "search-1"),
    ("services[0].upstreams[0].zone", "brugge"),
    ("services[0].upstreams[0].address", "10.2.0.1:8080"),
    ("services[0].upstreams[0].slots", "2"),
    ("services[0].upstreams[0].state", "active"),
];

#[tokio::test]
async fn values_are_escaped_and_affect_only_their_field() {
    let (_handle, browser) = start().await;
    let texts = [
        "\"", "#", "a: b", "- a", "*a", "&a", "!a", "~", "null", "true", "|", "{}", "\\", "a\nb", "\u{85}", "---", "é",
    ];
    for (field, valid) in UPSTREAM {
        for text in texts {
            let page = browser.submit(SERVICE, SERVICE, "save", &[(field, text)]).await;
            let listed = page.between("<h2>Problems</h2>", "</ul>");
            let is_name = field == UPSTREAM[0].0 && ["null", "true"].contains(&text);
            assert_eq!(
                listed.matches("<li>").count(),
                usize::from(!is_name),
                "{field}: {text:?}"
            );
            assert_eq!(listed.contains(&format!(">{field}</a>")), !is_name, "{field}: {text:?}");
        }
        browser.submit(SERVICE, SERVICE, "save", &[(field, valid)]).await;
    }
}

#[tokio::test]
async fn items_are_added_and_removed() {
    let (_handle, browser) = start().await;
    browser
        .submit(SERVICE, SERVICE, "remove services[0].upstreams[0]", &[])
        .await;
    browser.submit(SERVICE, SERVICE, "add services[0].kinds", &[]).await;
    browser.submit(SERVICE, SERVICE, "add services[0].addresses", &[]).await;
    browser.submit("/zones", "/zones", "add zones", &[]).await;
    let added = browser.submit("/", "/", "add services", &[]).await;
    assert!(added.text.contains("services[1].name"));
    assert_snapshot!(text(&browser).await, @r#"
    revision: 2
    change:
      author: ""
      approver: ""
      reason: ""

    zones:
      - {name: brugge, region: flanders}
      - {name: "", region: ""}
    services:
      - name: availability
        addresses: ["10.1.0.1:4000", ""]
        sharing:
          affinity: flow
          prefer-local-zone: true
          queue-limit: 200
          retry-budget-percent: 10
          slow-start-ms: 5000
        kinds:
          - {name: feed, weight: 1, idempotent: true}
          - {name: "", weight: 1, idempotent: false}
        upstreams:
          - {name: search-2, zone: brugge, address: "10.2.0.2:8080", slots: 2, state: draining}

      - name: ""
        addresses: [""]
        sharing:
          affinity: request
          prefer-local-zone: true
          queue-limit: 200
          retry-budget-percent: 10
          slow-start-ms: 5000
        kinds:
          - {name: "", weight: 1, idempotent: false}
        upstreams: []
    "#);
    browser.submit("/", "/", "remove services[0]", &[]).await;
    assert!(!text(&browser).await.contains("availability"));
}

#[tokio::test]
async fn other_sites_and_other_users_are_rejected() {
    let (_handle, browser) = start().await;
    let token = browser.get("/").await.hidden("token");
    let own = Some(browser.origin.as_str());
    let before = text(&browser).await;
    for (origin, token) in [
        (Some("http://evil.example"), token.as_str()),
        (Some("null"), &token),
        (None, &token),
        (own, ""),
        (own, "0"),
    ] {
        assert_eq!(browser.forged("/", origin, token).await.status, StatusCode::FORBIDDEN);
    }
    let no_cookie = fetch(browser.plain_request(Method::GET, "/")).await;
    assert_eq!(no_cookie.status, StatusCode::FORBIDDEN);
    let cookie = browser.wrong_cookie();
    let bad_cookie = fetch(browser.plain_request(Method::GET, "/").header(COOKIE, cookie)).await;
    assert_eq!(bad_cookie.status, StatusCode::FORBIDDEN);
    let wrong_key = fetch(browser.plain_request(Method::GET, "/enter?key=0")).await;
    assert_eq!(wrong_key.status, StatusCode::FORBIDDEN);
    let foreign_host = fetch(browser.plain_request(Method::GET, "/").header(HOST, "evil.example")).await;
    assert_snapshot!(foreign_host.main_text(), @r"
    Refused
    This console is not known under this host name.
    Overview
    ");
    assert_eq!(text(&browser).await, before);
}

#[tokio::test]
async fn debug_output_of_a_server_hides_the_key() {
    let handle = standin::platform::start(standin::platform::Options::default()).await;
    let handle = handle.expect("the stand-in starts");
    let platform = platform::Options::new(vec![handle.address()]);
    let server = console::Server::bind(console::Options {
        address: "127.0.0.1:0".parse().expect("the address is valid"),
        platform: platform::Client::new(platform),
    });
    let server = server.await.expect("the console starts");
    let (_, key) = server.url().split_once("key=").expect("the address holds the key");
    assert!(!format!("{server:?}").contains(key));
}

#[tokio::test]
async fn stale_form_is_rejected() {
    let (_handle, browser) = start().await;
    let shown = browser.get(SERVICE).await;
    browser
        .submit(SERVICE, SERVICE, "remove services[0].upstreams[0]", &[])
        .await;
    let before = text(&browser).await;
    let late = browser
        .post(SERVICE, &shown, "remove services[0].upstreams[0]", &[])
        .await;
    assert_eq!(late.status, StatusCode::CONFLICT);
    assert_eq!(text(&browser).await, before);
}

#[tokio::test]
async fn write_completes_after_the_browser_disconnects() {
    let (handle, browser) = start().await;
    let slots = [("services[0].upstreams[0].slots", "5")];
    browser.submit(SERVICE, SERVICE, "save", &slots).await;
    let shown = browser.get("/review").await;
    let slow = standin::platform::Behaviour {
        slow: units::Millis(300),
        ..Default::default()
    };
    handle.behave(slow).await;
    let write_started = async {
        while handle.counts().writes == 0 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::select! {
        answer = browser.post("/apply", &shown, "apply", &CHANGE) => panic!("answered too early: {answer:?}"),
        () = write_started => {}
    }
    let next = text(&browser).await;
    assert!(next.starts_with("revision: 3\n"), "{next}");
    let held = handle.object(&platform::api::Key::document());
    assert_eq!(held.map(|held| held.version), Some(units::Revision(2)));
}

#[tokio::test]
async fn conflict_keeps_the_draft() {
    let (handle, browser) = start().await;
    browser
        .submit(SERVICE, SERVICE, "save", &[("services[0].upstreams[0].slots", "5")])
        .await;
    handle.put_document(
        DOCUMENT
            .replace("revision: 1", "revision: 2")
            .replace("weight: 1", "weight: 2"),
    );
    let lost = browser.submit("/review", "/apply", "apply", &CHANGE).await;
    assert_eq!(lost.status, StatusCode::CONFLICT);
    assert_snapshot!(lost.main_text(), @r"
    Not applied
    nothing was changed: revision 2 was made first by stand-in, approved by joost, because: First
    That revision changed:
    kind feed of service availability: weight changed from 1 to 2
    Your document would change in it:
    kind feed of service availability: weight changed from 2 to 1
    upstream search-1: slots changed from 2 to 5
    Review again from revision 2.
    Back to the draft, to apply it again
    Keep the draft, and review it against the platform's document
    Drop the draft, and start from the platform's document
    Overview
    ");
    let kept = browser.post("/restart", &lost, "keep", &[]).await;
    let review = browser.get(&kept.location).await;
    assert_snapshot!(review.between("<ul class=\"differences\">", "</ul>"), @"<li>kind feed of service availability: weight changed from 2 to 1</li><li>upstream search-1: slots changed from 2 to 5</li>");
    let dropped = browser.submit("/review", "/restart", "drop", &[]).await;
    assert!(dropped.text.contains("The draft is the same as revision 2."));
}
