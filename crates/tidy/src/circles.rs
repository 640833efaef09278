//! Files that need one another: whoever reads one must read them all.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::path::Path;

use crate::Source;

/// A file as other files of its crate name it, such as `sessions::link`.
type Module = String;

/// What each file of a crate uses of the others.
#[derive(Debug, Default)]
struct Uses(BTreeMap<Module, BTreeSet<Module>>);

/// The files of a crate that use one another in a circle, by the names of their modules. `crate_path` is the crate's folder
/// from the workspace's root.
pub fn circles(sources: &[Source], crate_path: &Path) -> BTreeSet<Module> {
    let root = crate_path.join("src");
    let mut texts = BTreeMap::new();
    for source in sources {
        let Ok(path) = source.path.strip_prefix(&root) else {
            continue;
        };
        let module = path.with_extension("");
        let parts = module.iter().map(|part| part.to_string_lossy().into_owned());
        texts.insert(parts.collect::<Vec<_>>().join("::"), source.text.as_str());
    }
    let mut uses = Uses::default();
    for (module, text) in &texts {
        let others = text.lines().filter_map(|line| used(module, line, &texts));
        let others = others.filter(|other| other != module).collect();
        uses.0.insert(module.clone(), others);
    }
    let modules = uses.0.keys().cloned();
    modules.filter(|module| uses.reaches(module, module)).collect()
}

impl Uses {
    /// Whether a file needs another one, directly or through others.
    fn reaches(&self, from: &str, to: &str) -> bool {
        let mut seen = BTreeSet::new();
        let mut open: Vec<&str> = vec![from];
        while let Some(module) = open.pop() {
            for used in self.0.get(module).into_iter().flatten() {
                if used == to {
                    return true;
                }
                if seen.insert(used.as_str()) {
                    open.push(used);
                }
            }
        }
        false
    }
}

/// The file of the same crate that a line imports from.
fn used(module: &str, line: &str, known: &BTreeMap<Module, &str>) -> Option<Module> {
    let line = line.trim_start();
    let line = line.strip_prefix("pub ").unwrap_or(line);
    let path = line.strip_prefix("use ")?.trim_end_matches(';');
    let (root, mut rest) = path.split_once("::")?;
    let mut base: Vec<&str> = module.split("::").collect();
    match root {
        "crate" => base.clear(),
        "self" => {}
        "super" => {
            base.pop();
        }
        _ => return None,
    }
    while let Some(above) = rest.strip_prefix("super::") {
        base.pop();
        rest = above;
    }
    base.extend(rest.split("::"));
    let lengths = (1..=base.len()).rev();
    let candidates = lengths.map(|length| base[..length].join("::"));
    candidates.into_iter().find(|name| known.contains_key(name))
}
