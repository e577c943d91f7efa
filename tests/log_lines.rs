//! Checks that `docs/on-call.md` lists exactly the log lines in the source code, word for word.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
/// Crates that are not part of the product. Their log lines do not concern staff on call.
const DEVELOPMENT_CRATES: [&str; 3] = ["benchmarks", "fault-injection", "test-doubles"];
/// Heading of the section with the log lines in `docs/on-call.md`.
const HEADING: &str = "## Log lines";

/// Level and field names of a log line.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct LineFormat {
    level: String,
    fields: Vec<String>,
}

/// Log lines by message.
type LogLines = BTreeMap<String, LineFormat>;

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Source files of the product, without tests.
fn product_files() -> Vec<PathBuf> {
    let mut directories = vec![root().join("src")];
    for entry in std::fs::read_dir(root().join("crates")).unwrap() {
        let entry = entry.unwrap();
        if !DEVELOPMENT_CRATES.contains(&entry.file_name().to_str().unwrap()) {
            directories.push(entry.path().join("src"));
        }
    }
    let mut files = Vec::new();
    while let Some(directory) = directories.pop() {
        for entry in std::fs::read_dir(&directory).unwrap() {
            let path = entry.unwrap().path();
            let name = path.file_name().unwrap().to_str().unwrap();
            if path.is_dir() && name != "tests" {
                directories.push(path);
            } else if name.ends_with(".rs") && name != "tests.rs" {
                files.push(path);
            }
        }
    }
    files
}

/// Splits the arguments of a macro call. `text` starts after the opening parenthesis.
fn split_arguments(text: &str) -> Vec<String> {
    let (mut arguments, mut argument) = (Vec::new(), String::new());
    let (mut depth, mut in_string) = (0, false);
    let mut characters = text.chars();
    while let Some(character) = characters.next() {
        match character {
            '\\' if in_string => {
                argument.push(character);
                argument.extend(characters.next());
                continue;
            }
            '"' => in_string = !in_string,
            '(' | '[' | '{' if !in_string => depth += 1,
            ')' if !in_string && depth == 0 => break,
            ')' | ']' | '}' if !in_string => depth -= 1,
            ',' if !in_string && depth == 0 => {
                arguments.push(std::mem::take(&mut argument).trim().to_owned());
                continue;
            }
            _ => {}
        }
        argument.push(character);
    }
    arguments.push(argument.trim().to_owned());
    arguments
}

/// Message and format of a log call. The first argument that is a string literal is the message; the ones before it
/// are fields.
fn log_line(level: &str, arguments: &[String]) -> (String, LineFormat) {
    let message = arguments.iter().position(|argument| argument.starts_with('"'));
    let message = message.unwrap_or_else(|| panic!("no message in {arguments:?}"));
    let field = |argument: &String| {
        let name = argument.split('=').next().unwrap_or_default();
        name.trim().trim_start_matches(['%', '?']).to_owned()
    };
    let fields = arguments[..message].iter().map(field).collect();
    let text = arguments[message].trim_matches('"').to_owned();
    (text, LineFormat { level: level.to_owned(), fields })
}

/// Log lines in the source code of the product.
fn lines_in_code() -> LogLines {
    let mut lines = LogLines::new();
    for file in product_files() {
        let code = std::fs::read_to_string(&file).unwrap();
        for level in LEVELS {
            let calls = code.matches(&format!("{level}!(")).count();
            let qualified_calls = code.matches(&format!("tracing::{level}!(")).count();
            assert_eq!(
                calls,
                qualified_calls,
                "{}: write tracing::{level}!, otherwise this test misses the call",
                file.display()
            );
        }
        let calls = code.split("tracing::").skip(1);
        for call in calls {
            let Some((level, rest)) = call.split_once("!(") else { continue };
            if !LEVELS.contains(&level) {
                continue;
            }
            // The call may itself contain `tracing::`, at which `rest` ends. Parse it from the whole file instead.
            let start = rest.as_ptr() as usize - code.as_ptr() as usize;
            let (message, format) = log_line(level, &split_arguments(&code[start..]));
            let known = lines.insert(message.clone(), format.clone());
            assert!(
                known.is_none_or(|known| known == format),
                "{}: {message:?} is logged with different levels or fields",
                file.display()
            );
        }
    }
    lines
}

/// Log lines in the table of the page, whose first columns are the message, the level and the fields.
fn lines_on_page() -> LogLines {
    let page = std::fs::read_to_string(root().join("docs/on-call.md")).unwrap();
    let (_, section) = page.split_once(HEADING).expect("docs/on-call.md has a section on log lines");
    let section = section.split("\n## ").next().unwrap_or_default();
    let mut lines = LogLines::new();
    for row in section.lines().filter(|line| line.starts_with("| `")) {
        let cells: Vec<&str> = row.trim_matches('|').split('|').map(str::trim).collect();
        let [message, level, fields, meaning, what_to_do] = cells[..] else {
            panic!("not five columns: {row}")
        };
        assert!(!meaning.is_empty() && !what_to_do.is_empty(), "{row}");
        let names = fields.split(',').map(|name| name.trim().trim_matches('`').to_owned());
        let fields = names.filter(|name| !name.is_empty()).collect();
        let format = LineFormat { level: level.to_owned(), fields };
        let message = message.trim_matches('`').to_owned();
        assert!(lines.insert(message, format).is_none(), "twice on the page: {row}");
    }
    lines
}

#[test]
fn page_lists_exactly_the_log_lines_in_the_code() {
    let (code, page) = (lines_in_code(), lines_on_page());
    let missing: Vec<_> =
        code.iter().filter(|(message, format)| page.get(*message) != Some(*format)).collect();
    let stale: Vec<_> = page.iter().filter(|(message, format)| code.get(*message) != Some(*format)).collect();
    assert!(
        missing.is_empty() && stale.is_empty(),
        "not on the page: {missing:#?}\nnot in the code: {stale:#?}"
    );
    assert!(code.len() > 30, "only {} lines found", code.len());
}

#[test]
fn messages_are_constant_and_start_in_lower_case() {
    for message in lines_in_code().keys() {
        assert!(!message.contains('{'), "{message:?} has data in its message");
        assert!(message.starts_with(|first: char| !first.is_uppercase()), "{message:?}");
    }
}
