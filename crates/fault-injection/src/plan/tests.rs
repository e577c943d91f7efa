use super::draw::CALM_MARGIN;
use super::*;

#[test]
fn reads_a_drawn_plan_back_as_it_was_written() {
    for seed in 0..200 {
        let length = Duration::from_secs(8);
        let plan = Plan::draw(seed, 4, length);
        assert_eq!(plan, Plan::draw(seed, 4, length), "by its seed alone");
        assert!(plan.0.iter().all(|fault| fault.ends_at() + CALM_MARGIN <= length));
        let text = plan.to_string();
        let same = Plan::read("plan.kdl", &text, 4).unwrap_or_else(|error| panic!("{error}\n{text}"));
        assert_eq!(same.to_string(), text);
    }
    let kinds: std::collections::BTreeSet<_> = (0..200)
        .flat_map(|seed| Plan::draw(seed, 4, Duration::from_secs(8)).0)
        .map(|fault| fault.kind.name())
        .collect();
    assert_eq!(kinds.len(), 5, "{kinds:?}");
}

#[test]
fn reports_each_error_with_its_place() {
    for (text, place, what) in [
        ("kill 4 at=\"1s\" for=\"1s\"", "1:6", "a scheduler from 0 to 3"),
        ("kill 1 at=\"1\" for=\"1s\"", "1:8", "a time such as"),
        ("kill 1 for=\"1s\"", "1:1", "at="),
        ("kill 1 2 at=\"1s\" for=\"1s\"", "1:1", "from 1 to 1 schedulers"),
        ("\nhurt 1 at=\"1s\" for=\"1s\"", "2:1", "one of kill"),
        ("cut 1 2 at=\"1s\" for=\"1s\" lost=\"3%\"", "1:26", "one of at, for"),
        ("rough 1 at=\"1s\" for=\"1s\" lost=3", "1:26", "a share"),
        ("kill 1 at=\"1s\" for=\"1s\"\nstop 1 at=\"1.5s\" for=\"1s\"", "2:1", "at a time"),
        ("kill 1 {", "1:8", "well-formed KDL"),
    ] {
        let error = Plan::read("p.kdl", text, 4).expect_err(text).to_string();
        assert!(error.contains(&format!("p.kdl:{place}")) && error.contains(what), "{text}: {error}");
    }
}
