use super::draw::FAULT_FREE_MARGIN;
use super::*;

#[test]
fn random_plan_round_trips_through_its_text() {
    for seed in 0..200 {
        let length = Duration::from_secs(8);
        let plan = FaultPlan::random(seed, 4, length);
        assert_eq!(plan, FaultPlan::random(seed, 4, length), "the seed alone determines the plan");
        assert!(plan.0.iter().all(|fault| fault.ends_at() + FAULT_FREE_MARGIN <= length));
        let text = plan.to_string();
        let reread = FaultPlan::parse("plan.kdl", &text, 4).unwrap_or_else(|error| panic!("{error}\n{text}"));
        assert_eq!(reread.to_string(), text);
    }
    let kinds: std::collections::BTreeSet<_> = (0..200)
        .flat_map(|seed| FaultPlan::random(seed, 4, Duration::from_secs(8)).0)
        .map(|fault| fault.kind.name())
        .collect();
    assert_eq!(kinds.len(), 5, "{kinds:?}");
}

#[test]
fn reports_errors_with_their_positions() {
    for (text, position, expected) in [
        ("kill 4 at=\"1s\" for=\"1s\"", "1:6", "a scheduler from 0 to 3"),
        ("kill 1 at=\"1\" for=\"1s\"", "1:8", "a time such as"),
        ("kill 1 for=\"1s\"", "1:1", "at="),
        ("kill 1 2 at=\"1s\" for=\"1s\"", "1:1", "from 1 to 1 schedulers"),
        ("\nhurt 1 at=\"1s\" for=\"1s\"", "2:1", "one of kill"),
        ("cut 1 2 at=\"1s\" for=\"1s\" lost=\"3%\"", "1:26", "one of at, for"),
        ("rough 1 at=\"1s\" for=\"1s\" lost=3", "1:26", "a percentage"),
        ("kill 1 at=\"1s\" for=\"1s\"\nstop 1 at=\"1.5s\" for=\"1s\"", "2:1", "at a time"),
        ("kill 1 {", "1:8", "well-formed KDL"),
    ] {
        let error = FaultPlan::parse("p.kdl", text, 4).expect_err(text).to_string();
        assert!(error.contains(&format!("p.kdl:{position}")) && error.contains(expected), "{text}: {error}");
    }
}
