//! Renders a session as HTML pages. The templates escape everything that is not a literal in this code.

mod form;
mod layout;
mod notice;
mod overview;
mod review;
mod service;
mod zones;

pub use form::BUTTON_FIELD;
pub use form::VERSION_FIELD;
pub use notice::notice;
pub use overview::overview;
pub use review::difference_list;
pub use review::recovery_options;
pub use review::review;
pub use service::service;
pub use zones::zones;

use config::FieldPath;
use config::Problem;

use crate::session::CheckResult;
use crate::session::Session;

/// The path of the overview.
pub const OVERVIEW: &str = "/";
/// The path of the zones.
pub const ZONES: &str = "/zones";
/// The path of the review.
pub const REVIEW: &str = "/review";
/// The path that applies the draft.
pub const APPLY: &str = "/apply";
/// The path that reloads the platform's document.
pub const RESTART: &str = "/restart";
/// The path of the draft as text.
pub const TEXT: &str = "/document.yaml";
/// The path of the style sheet.
pub const STYLE: &str = "/style.css";

/// The value of the button that keeps the draft when the platform's document is reloaded.
pub const KEEP_DRAFT: &str = "keep";

/// Returns the path of the page of a service.
pub fn service_path(index: usize) -> String {
    format!("/services/{index}")
}

/// The data that a page is rendered from.
#[derive(Debug)]
pub struct View<'a> {
    /// The editing session.
    pub session: &'a Session,
    /// The result of validating the draft.
    pub check: CheckResult,
    /// The token that forms carry.
    pub token: &'a str,
}

impl View<'_> {
    /// Returns the problems, except those of a change record that has not been filled in yet.
    fn problems(&self) -> impl Iterator<Item = &Problem> {
        let change = crate::draft::change_field();
        let open = self.session.is_change_blank();
        let problems = self.check.problems.iter();
        problems.filter(move |problem| !(open && is_within(&problem.field, &change)))
    }

    /// Returns the problems of exactly this field.
    fn problems_at<'a>(&'a self, field: &'a FieldPath) -> impl Iterator<Item = &'a Problem> {
        self.problems().filter(move |problem| &problem.field == field)
    }

    /// Returns the number of problems of this field and the fields below it.
    fn count_problems_within(&self, field: &FieldPath) -> usize {
        self.problems()
            .filter(|problem| is_within(&problem.field, field))
            .count()
    }
}

fn is_within(field: &FieldPath, parent: &FieldPath) -> bool {
    let Some(rest) = field.as_str().strip_prefix(parent.as_str()) else {
        return false;
    };
    rest.is_empty() || rest.starts_with('.') || rest.starts_with('[')
}

/// Returns the link to the page on which a problem can be fixed, with the input as the fragment.
fn problem_link(problem: &Problem, services: usize) -> String {
    let field = &problem.field;
    for index in 0..services {
        if is_within(field, &crate::draft::service_field(index)) {
            return format!("{}#{field}", service_path(index));
        }
    }
    if is_within(field, &crate::draft::zones_field()) {
        return format!("{ZONES}#{field}");
    }
    if is_within(field, &crate::draft::change_field()) {
        return format!("{REVIEW}#{field}");
    }
    OVERVIEW.to_owned()
}
