//! `docs/on-call.md` lists each log line of the program in its exact words, and no other.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

const LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
/// Crates that are no part of the product: what they log is not for staff on call.
const OTHER_CRATES: [&str; 3] = ["benchmarks", "fault-injection", "test-doubles"];
/// The heading of the list on the page.
const HEADING: &str = "## Log lines";

/// What a line is, beside its message.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Form {
    level: String,
    fields: Vec<String>,
}

type LogLines = BTreeMap<String, Form>;

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// The source files of the product, without their tests.
fn product_files() -> Vec<PathBuf> {
    let mut directories = vec![root().join("src")];
    for entry in std::fs::read_dir(root().join("crates")).unwrap() {
        let entry = entry.unwrap();
        if !OTHER_CRATES.contains(&entry.file_name().to_str().unwrap()) {
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

/// The arguments of a macro call, whose text begins behind its opening parenthesis.
fn arguments(text: &str) -> Vec<String> {
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

/// The message and the fields of a call: the first string that has no name is the message, what is before it are fields.
fn log_line(level: &str, arguments: &[String]) -> (String, Form) {
    let message = arguments.iter().position(|argument| argument.starts_with('"'));
    let message = message.unwrap_or_else(|| panic!("no message in {arguments:?}"));
    let field = |argument: &String| {
        let name = argument.split('=').next().unwrap_or_default();
        name.trim().trim_start_matches(['%', '?']).to_owned()
    };
    let fields = arguments[..message].iter().map(field).collect();
    let text = arguments[message].trim_matches('"').to_owned();
    (text, Form { level: level.to_owned(), fields })
}

/// Each log line of the product, from its sources.
fn lines_of_the_code() -> LogLines {
    let mut lines = LogLines::new();
    for file in product_files() {
        let code = std::fs::read_to_string(&file).unwrap();
        for level in LEVELS {
            let all = code.matches(&format!("{level}!(")).count();
            let found = code.matches(&format!("tracing::{level}!(")).count();
            assert_eq!(all, found, "{}: write tracing::{level}!, or this test misses it", file.display());
        }
        let calls = code.split("tracing::").skip(1);
        for call in calls {
            let Some((level, rest)) = call.split_once("!(") else { continue };
            if !LEVELS.contains(&level) {
                continue;
            }
            // The call may hold `tracing::` itself: its text is looked for in the whole file.
            let begin = rest.as_ptr() as usize - code.as_ptr() as usize;
            let (message, form) = log_line(level, &arguments(&code[begin..]));
            let known = lines.insert(message.clone(), form.clone());
            assert!(known.is_none_or(|known| known == form), "{}: {message:?} has two forms", file.display());
        }
    }
    lines
}

/// Each log line of the page: a table with the message, the level and the fields in its first columns.
fn lines_of_the_page() -> LogLines {
    let page = std::fs::read_to_string(root().join("docs/on-call.md")).unwrap();
    let (_, section) = page.split_once(HEADING).expect("the page has the section");
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
        let form = Form { level: level.to_owned(), fields };
        let message = message.trim_matches('`').to_owned();
        assert!(lines.insert(message, form).is_none(), "twice on the page: {row}");
    }
    lines
}

#[test]
fn the_page_lists_each_log_line_of_the_code_and_no_other() {
    let (code, page) = (lines_of_the_code(), lines_of_the_page());
    let missing: Vec<_> = code.iter().filter(|(line, form)| page.get(*line) != Some(*form)).collect();
    let stale: Vec<_> = page.iter().filter(|(line, form)| code.get(*line) != Some(*form)).collect();
    assert!(
        missing.is_empty() && stale.is_empty(),
        "not on the page: {missing:#?}\nnot in the code: {stale:#?}"
    );
    assert!(code.len() > 30, "only {} lines found", code.len());
}

#[test]
fn messages_are_fixed_and_begin_in_lower_case() {
    for message in lines_of_the_code().keys() {
        assert!(!message.contains('{'), "{message:?} has data in its message");
        assert!(message.starts_with(|first: char| !first.is_uppercase()), "{message:?}");
    }
}
