//! Links between the pages of the repository.

use std::path::{Path, PathBuf};

/// Every page under a directory, without what is built.
fn pages(directory: &Path, found: &mut Vec<PathBuf>) {
    let entries = std::fs::read_dir(directory).expect("the directory can be read");
    for entry in entries {
        let path = entry.expect("the entry can be read").path();
        let is_hidden = path
            .file_name()
            .is_some_and(|name| name.as_encoded_bytes().starts_with(b"."));
        if path.is_dir() && !is_hidden && !path.ends_with("target") {
            pages(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "md") {
            found.push(path);
        }
    }
}

/// The targets of `](target)` within the repository, without the part after `#`.
fn targets(text: &str) -> Vec<&str> {
    text.split("](")
        .skip(1)
        .filter_map(|rest| rest.split_once(')'))
        .map(|(target, _)| target.split('#').next().unwrap_or(target))
        .filter(|target| !target.is_empty() && !target.contains(':'))
        .collect()
}

#[test]
fn every_link_leads_to_a_file() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let mut found = Vec::new();
    pages(&root, &mut found);
    let mut linked = 0;
    for page in found {
        let text = std::fs::read_to_string(&page).expect("the page can be read");
        let directory = page.parent().expect("a page lies in a directory");
        for target in targets(&text) {
            linked += 1;
            let path = directory.join(target);
            assert!(path.exists(), "{}: {target}", page.display());
        }
    }
    assert!(linked > 20, "only {linked} links were found");
}
