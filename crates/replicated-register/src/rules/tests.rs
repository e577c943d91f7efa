use super::*;

const OLD: &str = "quota \"acme\" 4.5\nquota \"umbrella\" 7\nwindow \"publish-map\" \"40s\"\ndrain \"s-1\"";
const NEW: &str = "quota \"acme\" 6\nwindow \"publish-map\" \"7.5s\"\ntake-out \"s-2\"";

#[test]
fn stricter_rules_satisfy_both_versions() {
    let (old, new) = (Rules::parse("d", OLD).unwrap(), Rules::parse("d", NEW).unwrap());
    let both = old.stricter(&new);
    assert_eq!(both, new.stricter(&old));
    assert_eq!((both.quotas["acme"], both.quotas["umbrella"]), (4.5, 7.0));
    assert_eq!(both.windows["publish-map"], Duration::from_secs(40));
    assert!(both.drained.contains("s-1") && both.removed.contains("s-2"));
    assert_eq!(both.stricter(&both), both);
}

#[test]
fn reports_each_error_with_its_position() {
    for (text, position, expected) in [
        ("quota \"acme\"", "1:1", "a name and a value"),
        ("quota \"acme\" -1", "1:14", "0 or more"),
        ("\nwindow \"a\" 40", "2:12", "a duration such as"),
        ("drain \"s\"\ndrain \"s\"", "2:1", "each name once, found another drain \"s\""),
        ("drain s=1", "1:1", "a name"),
        ("limit \"a\" 1", "1:1", "one of quota"),
        ("quota \"", "1:", "well-formed"),
    ] {
        let error = Rules::parse("rules.kdl", text).expect_err(text).to_string();
        assert!(
            error.contains(&format!("rules.kdl:{position}")) && error.contains(expected),
            "{text}: {error}"
        );
    }
}
