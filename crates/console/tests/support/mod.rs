//! A minimal HTTP client that acts as a browser, and a console with a stand-in for the platform.

use std::future;

use console::Options;
use console::Server;
use platform::Client;
use reqwest::Method;
use reqwest::RequestBuilder;
use reqwest::StatusCode;
use reqwest::header::COOKIE;
use reqwest::header::LOCATION;
use reqwest::header::ORIGIN;
use reqwest::header::SET_COOKIE;
use reqwest::redirect::Policy;
use standin::platform as stand_in;
use standin::platform::Handle;

pub const DOCUMENT: &str = r#"
revision: 1
change: {author: an, approver: joost, reason: "First"}
zones: [{name: brugge, region: flanders}]
services:
  - name: availability
    addresses: ["10.1.0.1:4000"]
    sharing: {affinity: flow}
    kinds: [{name: feed, weight: 1, idempotent: true}]
    upstreams:
      - {name: search-1, zone: brugge, address: "10.2.0.1:8080", slots: 2}
      - {name: search-2, zone: brugge, address: "10.2.0.2:8080", slots: 2, state: draining}
"#;

/// A response as the browser sees it.
#[derive(Debug)]
pub struct Page {
    pub status: StatusCode,
    pub location: String,
    pub text: String,
}

/// A browser that has the access cookie.
pub struct Browser {
    pub origin: String,
    http: reqwest::Client,
    cookie: String,
}

/// Starts a stand-in platform with the document, a console for it, and a browser that has the access cookie.
pub async fn start() -> (Handle, Browser) {
    let options = stand_in::Options {
        document: Some(DOCUMENT.to_owned()),
        ..stand_in::Options::default()
    };
    let handle = stand_in::start(options).await.expect("the stand-in starts");
    let server = Server::bind(Options {
        address: "127.0.0.1:0".parse().expect("the address is valid"),
        platform: Client::new(platform::Options::new(vec![handle.address()])),
    });
    let server = server.await.expect("the console starts");
    let url = server.url().to_owned();
    tokio::spawn(server.run(future::pending()));
    (handle, Browser::enter(&url).await)
}

impl Browser {
    async fn enter(url: &str) -> Self {
        let builder = reqwest::Client::builder().no_proxy().redirect(Policy::none());
        let http = builder.build().expect("the client needs nothing from the system");
        let response = http.get(url).send().await.expect("the console answers");
        let cookie = response.headers()[SET_COOKIE].to_str().expect("the cookie is text");
        let cookie = cookie.split(';').next().unwrap_or_default().to_owned();
        let origin = url.split("/enter").next().unwrap_or_default().to_owned();
        Self { origin, http, cookie }
    }

    /// Returns a request without the headers that a browser would add.
    pub fn plain_request(&self, method: Method, path: &str) -> RequestBuilder {
        self.http.request(method, format!("{}{path}", self.origin))
    }

    /// Returns a cookie with the correct name and a wrong value.
    pub fn wrong_cookie(&self) -> String {
        let name = self.cookie.split('=').next().unwrap_or_default();
        format!("{name}=0")
    }

    pub async fn get(&self, path: &str) -> Page {
        fetch(self.plain_request(Method::GET, path).header(COOKIE, &self.cookie)).await
    }

    /// Fills in the form of `page`, presses a button and follows the redirect, if any.
    pub async fn submit(&self, page: &str, action: &str, button: &str, values: &[(&str, &str)]) -> Page {
        let shown = self.get(page).await;
        let posted = self.post(action, &shown, button, values).await;
        if posted.status.is_redirection() {
            return self.get(&posted.location).await;
        }
        posted
    }

    /// Posts the form of a page that was fetched earlier.
    pub async fn post(&self, action: &str, shown: &Page, button: &str, values: &[(&str, &str)]) -> Page {
        let token = shown.hidden("token");
        let version = shown.hidden("version");
        let mut pairs = vec![("token", token.as_str()), ("version", &version), ("button", button)];
        pairs.extend(values);
        let request = self.plain_request(Method::POST, action).header(COOKIE, &self.cookie);
        fetch(request.header(ORIGIN, &self.origin).form(&pairs)).await
    }

    /// Posts a form as a cross-site request would, with the given origin and token.
    pub async fn forged(&self, action: &str, origin: Option<&str>, token: &str) -> Page {
        let mut request = self.plain_request(Method::POST, action).header(COOKIE, &self.cookie);
        if let Some(origin) = origin {
            request = request.header(ORIGIN, origin);
        }
        fetch(request.form(&[("token", token), ("version", "0"), ("button", "add services")])).await
    }
}

pub async fn fetch(request: RequestBuilder) -> Page {
    let response = request.send().await.expect("the console answers");
    let status = response.status();
    let location = response.headers().get(LOCATION);
    let location = location.map(|value| value.to_str().expect("the path is text").to_owned());
    Page {
        status,
        location: location.unwrap_or_default(),
        text: response.text().await.expect("the answer is text"),
    }
}

impl Page {
    /// Returns the value of a hidden input.
    pub fn hidden(&self, name: &str) -> String {
        self.between(&format!(r#"type="hidden" name="{name}" value=""#), "\"")
            .to_owned()
    }

    /// Returns the problems shown at a field.
    pub fn problems(&self, field: &str) -> String {
        strip(self.between(&format!(r#"<ul class="faults" id="{field}.faults">"#), "</ul>"))
    }

    /// Returns the text of the `main` element without markup.
    pub fn main_text(&self) -> String {
        strip(self.between("<main>", "</main>"))
    }

    /// Returns the text between two delimiters, empty if they are missing.
    pub fn between(&self, from: &str, to: &str) -> &str {
        let Some((_, rest)) = self.text.split_once(from) else {
            return "";
        };
        rest.split(to).next().unwrap_or_default()
    }
}

/// Returns the text outside of tags, one line per text node.
fn strip(html: &str) -> String {
    let parts = html
        .split('<')
        .map(|part| part.rsplit('>').next().unwrap_or_default().trim());
    let parts: Vec<&str> = parts.filter(|part| !part.is_empty()).collect();
    parts.join("\n")
}
