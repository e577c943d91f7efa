//! `measure gateway`: one site at 1.5 times its capacity, one at 0.3, over wires that delay and fail; played
//! without the gateway and with it, on the same traffic.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use chutesaddle_test_doubles::site::capacity;
use chutesaddle_test_doubles::ProxyState;
use chutesaddle_test_doubles::{client, FaultyProxy, Journal, TestSite};
use indicatif::{ProgressBar, ProgressStyle};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, Instant};

use chutesaddle_test_doubles::program::{build_scheduler, TempDirectory};
use chutesaddle_test_doubles::traffic::{draw, play, TrafficResult};

/// One way between the sites.
const DELAY: RangeInclusive<Duration> = Duration::from_micros(5600)..=Duration::from_millis(10);
/// Load of the two sites, in capacities.
const LOADS: [f64; 2] = [1.5, 0.3];
/// Bursts before the traffic, which count for nothing: jobs in each, how many, and the gap between them.
const QUIET: (usize, usize, Duration) = (10, 4, Duration::from_millis(1800));
/// Repeats of a key are dropped for so long.
const WINDOW: Duration = Duration::from_secs(40);
/// A slot that was free for so long before a crossing arrived was room: the way, a look and a call-back.
const ROOM: Duration = Duration::from_millis(60);
/// Sites are asked this often which boxes they avoid.
const ASK: Duration = Duration::from_millis(50);
/// What a wire has held up arrives so long after it is sound again: a link lives through `silence` of it.
const HELD_UP: Duration = Duration::from_millis(800);
/// What is promised of the gain, and of crossings while there was room.
const GAIN: f64 = 0.25;
const WHILE_ROOM: f64 = 0.01;

#[derive(clap::Args)]
pub(crate) struct Arguments {
    /// For the traffic, the delays and the failures of the wires
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How long clients keep coming; answers are waited for after that
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(5..=600))]
    seconds: u64,
    /// Failures of each wire: cuts both ways or one, and resets
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(0..=100))]
    cuts: u64,
    /// Play only with the gateway, and promise no gain: for many seeds in a row
    #[arg(long)]
    no_alone: bool,
    /// Print what the schedulers have logged
    #[arg(long)]
    logs: bool,
}

/// The last line.
#[derive(Serialize)]
struct Figures {
    measure: &'static str,
    seed: u64,
    ok: bool,
    /// Fewer than one crossing in a hundred began while a box here had a slot free, known to the module or not.
    room_kept: bool,
    service_alone: Option<f64>,
    service_gateway: f64,
    service_alone_other: Option<f64>,
    service_gateway_other: f64,
    asked: usize,
    answered: usize,
    lost: usize,
    duplicates: usize,
    crossings: u64,
    crossed_while_room: usize,
    /// While a slot was free on a box that the module of that site avoids, which is no room.
    crossed_while_avoided: usize,
    forwarded_twice: usize,
    returned: u64,
    resumed: u64,
    unknown: u64,
    failed: usize,
    /// Points of service in 100 that the crossings cost.
    price: f64,
}

/// When a wire failed, and until when.
type Troubles = Rc<RefCell<Vec<(Instant, Instant)>>>;

/// How many boxes the module of each site avoided, by when it was asked.
type Avoided = Rc<RefCell<[Vec<(Instant, u64)>; 2]>>;

struct Played {
    avoided: Avoided,
    sites: [TrafficResult; 2],
    troubles: Troubles,
    journal: Journal,
    metrics: HashMap<String, u64>,
    logs: String,
}

pub(crate) async fn run(arguments: &Arguments) -> io::Result<bool> {
    let program = build_scheduler()?;
    let folder = TempDirectory::new("gateway")?;
    let alone = match arguments.no_alone {
        true => None,
        false => Some(one(&program, &folder.0.join("alone"), arguments, false).await?),
    };
    let with = one(&program, &folder.0.join("with"), arguments, true).await?;
    if arguments.logs {
        eprintln!("{}", with.logs);
    }
    let figures = figures(arguments, alone.as_ref(), &with);
    table(alone.as_ref(), &with);
    println!("{}", serde_json::to_string(&figures).map_err(io::Error::other)?);
    Ok(figures.ok)
}

fn figures(arguments: &Arguments, alone: Option<&Played>, with: &Played) -> Figures {
    let sum = |what: fn(&TrafficResult) -> usize| with.sites.iter().map(what).sum::<usize>();
    let metric = |name: &str| with.metrics.get(name).copied().unwrap_or_default();
    let (asked, lost) = (sum(|o| o.asked), sum(|o| o.lost));
    let crossings = metric("svc.gateway.crossed");
    let duplicates = with.journal.duplicates(WINDOW);
    let [crossed_while_room, crossed_while_avoided, forwarded_twice] = crossed(with);
    let [gateway, other] = [0, 1].map(|n| with.sites[n].service);
    let gain = alone.map(|alone| gateway - alone.sites[0].service);
    let room = crossed_while_room as f64 <= (WHILE_ROOM * crossings as f64).max(1.0);
    let safe = duplicates == 0 && lost == 0 && forwarded_twice == 0;
    // With the wires failing for a good part of the time, only safety is promised.
    let gains = arguments.cuts > 0 || gain.is_none_or(|gain| gain >= GAIN);
    Figures {
        measure: "gateway",
        seed: arguments.seed,
        ok: safe && gains,
        room_kept: room,
        service_alone: alone.map(|alone| alone.sites[0].service),
        service_gateway: gateway,
        service_alone_other: alone.map(|alone| alone.sites[1].service),
        service_gateway_other: other,
        asked,
        answered: asked - lost,
        lost,
        duplicates,
        crossings,
        crossed_while_room,
        crossed_while_avoided,
        forwarded_twice,
        returned: metric("svc.gateway.returned"),
        resumed: metric("svc.gateway.resumed"),
        unknown: metric("svc.gateway.unknown"),
        failed: sum(|o| o.failed),
        price: 3.0 * crossings as f64 / asked.max(1) as f64,
    }
}

/// Crossings that began while there was room where they came from, and jobs that ran at both sites. What a failing
/// wire held up left at a moment that cannot be told from its arrival.
fn crossed(played: &Played) -> [usize; 3] {
    let (journal, troubles, avoided) = (&played.journal, played.troubles.borrow(), played.avoided.borrow());
    let held_up = |at: Instant| troubles.iter().any(|(from, to)| at >= *from && at < *to + HELD_UP);
    let avoids = |site: usize, at: Instant| {
        let near = |asked: &Instant| *asked + 2 * ASK > at && *asked < at + 2 * ASK;
        avoided[site].iter().any(|(asked, boxes)| near(asked) && *boxes > 0)
    };
    let home = |id: &str| usize::from(id.starts_with('b'));
    let runs = journal.runs();
    let (mut while_room, mut while_avoided) = (0, 0);
    let (mut at_home, mut away) = (BTreeSet::new(), BTreeSet::new());
    for run in &runs {
        if run.site == home(&run.request_id) {
            at_home.insert(run.request_id.as_str());
        } else {
            away.insert(run.request_id.as_str());
            let had_room = journal.had_free_slot(home(&run.request_id), run.started_at - *DELAY.end(), ROOM);
            if had_room && !held_up(run.started_at) {
                match avoids(home(&run.request_id), run.started_at) {
                    true => while_avoided += 1,
                    false => while_room += 1,
                }
            }
        }
    }
    [while_room, while_avoided, at_home.intersection(&away).count()]
}

fn table(alone: Option<&Played>, with: &Played) {
    println!(
        "{:<18}{:>7}{:>8}{:>9}{:>10}{:>8}{:>6}{:>9}{:>9}{:>9}",
        "", "asked", "served", "in time", "rejected", "failed", "lost", "service", "p50 ms", "p95 ms"
    );
    let plays = alone.map(|alone| ("alone", alone)).into_iter().chain([("with gateway", with)]);
    for (name, played) in plays {
        for (n, o) in played.sites.iter().enumerate() {
            let [p50, p95] = [0.5, 0.95].map(|q| o.latency.value_at_quantile(q));
            println!(
                "{:<18}{:>7}{:>8}{:>9}{:>10}{:>8}{:>6}{:>9.3}{:>9}{:>9}",
                format!("{name}, site {}", ["a", "b"][n]),
                o.asked,
                o.served,
                o.in_time,
                o.rejected,
                o.failed,
                o.lost,
                o.service,
                p50,
                p95
            );
        }
    }
}

pub(crate) fn operator(site: &str, peer: &str, connect: std::net::SocketAddr, secret: &Path) -> String {
    format!(
        "gateway {{\n    site {site:?}\n    listen \"127.0.0.1:0\"\n    secret-file {:?}\n    peer {peer:?} {{ connect \"{connect}\"; }}\n}}\n",
        secret.display().to_string()
    )
}

async fn one(program: &Path, folder: &Path, arguments: &Arguments, gateway: bool) -> io::Result<Played> {
    std::fs::create_dir_all(folder)?;
    let secret = folder.join("secret");
    std::fs::write(&secret, "a secret for two sites on loopback\n")?;
    let (journal, seed) = (Journal::default(), arguments.seed);
    let wires = [FaultyProxy::start(DELAY, seed).await?, FaultyProxy::start(DELAY, seed + 1000).await?];
    let mut sites = Vec::new();
    for (n, names) in [["a", "b"], ["b", "a"]].into_iter().enumerate() {
        let file = operator(names[0], names[1], wires[n].address, &secret);
        let file = gateway.then_some(file);
        sites.push(TestSite::start(program, folder, n, file.as_deref(), &journal).await?);
    }
    if gateway {
        wires[0].set_target(sites[1].scheduler.address("listening for site links address=").await?);
        wires[1].set_target(sites[0].scheduler.address("listening for site links address=").await?);
        for site in &sites {
            metric_is(site, "svc.gateway.out.up", 1).await?;
        }
    }
    // Some bursts first, each of which ends with idle boxes: schedulers learn the size of a box from what it reports
    // then, and what they do not know of cannot be called room.
    let quiet: Vec<_> = (0..2)
        .map(|n| {
            let mut arrivals = draw(["aq", "bq"][n], seed + 50, capacity(), Duration::from_secs(30));
            arrivals.retain(|arrival| arrival.request.class == "draw-map");
            arrivals.truncate(QUIET.0 * QUIET.1);
            for (at, arrival) in arrivals.iter_mut().enumerate() {
                arrival.at = QUIET.2 * (at / QUIET.0) as u32;
            }
            spawn_local(play(Rc::clone(&sites[n].client), arrivals, Instant::now()))
        })
        .collect();
    for play in quiet {
        play.await.map_err(io::Error::other)?;
    }
    let length = Duration::from_secs(arguments.seconds);
    let start = Instant::now() + Duration::from_millis(300);
    let plays: Vec<_> = (0..2)
        .map(|n| {
            let arrivals = draw(["a", "b"][n], 2 * seed + n as u64, LOADS[n] * capacity(), length);
            spawn_local(play(Rc::clone(&sites[n].client), arrivals, start))
        })
        .collect();
    let troubles = Troubles::default();
    if gateway {
        for (n, wire) in wires.iter().enumerate() {
            let seed = 7 * seed + n as u64;
            spawn_local(fail(Rc::clone(wire), seed, arguments.cuts, start, length, Rc::clone(&troubles)));
        }
    }
    let avoided = Avoided::default();
    let watch = spawn_local(watch_avoided([0, 1].map(|n| sites[n].operator_address), Rc::clone(&avoided)));
    let bar = progress(if gateway { "with the gateway" } else { "alone" }, arguments.seconds);
    let mut outcomes = Vec::new();
    let ticker = spawn_local({
        let bar = bar.clone();
        async move {
            loop {
                sleep(Duration::from_secs(1)).await;
                bar.inc(1);
            }
        }
    });
    for play in plays {
        outcomes.push(play.await.map_err(io::Error::other)?);
    }
    ticker.abort();
    watch.abort();
    bar.finish_and_clear();
    let (mut metrics, mut logs) = (HashMap::new(), String::new());
    for site in &sites {
        for (name, value) in figures_of(site).await? {
            *metrics.entry(name).or_default() += value;
        }
        logs += &format!("{}\n", site.scheduler.log().join("\n"));
    }
    let sites = outcomes.try_into().map_err(|_| io::Error::other("two sites"))?;
    Ok(Played { avoided, sites, troubles, journal, metrics, logs })
}

async fn figures_of(site: &TestSite) -> io::Result<Vec<(String, u64)>> {
    let text = client::operator_command(site.operator_address, "METRICS").await?;
    let pairs = text.lines().filter_map(|line| line.split_once('='));
    Ok(pairs.filter_map(|(name, value)| Some((name.to_owned(), value.parse().ok()?))).collect())
}

pub(crate) async fn metric_is(site: &TestSite, name: &str, wanted: u64) -> io::Result<()> {
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        if figures_of(site).await?.iter().any(|(known, value)| known.starts_with(name) && *value == wanted) {
            return Ok(());
        }
        sleep(Duration::from_millis(10)).await;
    }
    Err(io::Error::other(format!("{name} does not become {wanted}: {}", site.scheduler.log().join("\n"))))
}

/// Asks both sites again and again how many boxes they avoid.
async fn watch_avoided(doors: [SocketAddr; 2], avoided: Avoided) {
    loop {
        for (n, door) in doors.into_iter().enumerate() {
            let text = client::operator_command(door, "METRICS").await.unwrap_or_default();
            let figure = text.lines().find_map(|line| line.strip_prefix("svc.pool_ejected="));
            if let Some(boxes) = figure.and_then(|figure| figure.parse().ok()) {
                avoided.borrow_mut()[n].push((Instant::now(), boxes));
            }
        }
        sleep(ASK).await;
    }
}

/// Lets a wire fail a few times, over the middle of the traffic.
async fn fail(
    wire: Rc<FaultyProxy>,
    seed: u64,
    times: u64,
    start: Instant,
    length: Duration,
    troubles: Troubles,
) {
    let mut draws = StdRng::seed_from_u64(seed);
    let mut at: Vec<f64> = (0..times).map(|_| draws.random_range(0.1..0.9)).collect();
    at.sort_by(f64::total_cmp);
    for share in at {
        sleep_until(start + length.mul_f64(share)).await;
        let lasts = Duration::from_secs_f64(draws.random_range(0.1..2.0));
        let began = Instant::now();
        match draws.random_range(0..3) {
            0 => wire.set_state(ProxyState::Partitioned),
            1 => wire.set_state(ProxyState::PartitionedReturn),
            _ => wire.reset(),
        }
        sleep(lasts).await;
        wire.set_state(ProxyState::Healthy);
        troubles.borrow_mut().push((began, Instant::now()));
    }
}

fn progress(what: &'static str, seconds: u64) -> ProgressBar {
    let bar = ProgressBar::new(seconds);
    if let Ok(style) =
        ProgressStyle::with_template("{msg} [{bar:40}] {pos} of {len} s, then the last answers")
    {
        bar.set_style(style);
    }
    bar.set_message(what);
    bar
}
