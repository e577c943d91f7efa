//! A render box: takes jobs into slots and a bounded queue, runs them for as long as they need at its speed, tells
//! of start, progress and end, and drops repeats of a key for a while.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::{http, Journal};

/// A call-back is repeated so often, after this wait.
const CALLS: (usize, Duration) = (10, Duration::from_millis(100));
const CALL: Duration = Duration::from_secs(2);
const PROGRESS: Duration = Duration::from_secs(1);

/// What a box is like.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Its name in the list.
    pub name: String,
    /// The number of its site.
    pub site: usize,
    /// Jobs that run at a time.
    pub slots: usize,
    /// Jobs that may wait.
    pub queue: usize,
    /// Work done in a second of running.
    pub speed: f64,
    /// Repeats of a key are dropped for so long.
    pub window: Duration,
    /// A cold box begins at this share of its speed and is warm after that time.
    pub cold: Option<(f64, Duration)>,
}

/// Where call-backs go, once that is known.
type Caller = Rc<Cell<Option<SocketAddr>>>;

/// A door of a box: call-backs about what comes in here go to one scheduler.
pub struct Door {
    /// Where it listens.
    pub address: SocketAddr,
    caller: Caller,
}

impl Door {
    /// Call-backs go there from now on.
    pub fn calls(&self, scheduler: SocketAddr) {
        self.caller.set(Some(scheduler));
    }
}

struct Held {
    came: Instant,
    caller: Caller,
    id: String,
    key: Option<String>,
    work: Duration,
}

/// A box that runs.
pub struct RenderBox {
    /// Where it listens.
    pub address: SocketAddr,
    spec: Spec,
    journal: Journal,
    started: Instant,
    /// Of the first door.
    first: Caller,
    waiting: RefCell<VecDeque<Held>>,
    running: RefCell<HashMap<String, (AbortHandle, usize)>>,
    keys: RefCell<HashMap<String, Instant>>,
    silent: Cell<bool>,
}

impl RenderBox {
    /// Starts one.
    ///
    /// # Errors
    /// If it cannot listen.
    pub async fn start(spec: Spec, journal: Journal) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        journal.slots(spec.site, spec.slots as i64);
        let this = Rc::new(RenderBox {
            address: listener.local_addr()?,
            spec,
            journal,
            started: Instant::now(),
            first: Caller::default(),
            waiting: RefCell::default(),
            running: RefCell::default(),
            keys: RefCell::default(),
            silent: Cell::new(false),
        });
        this.listen(listener, &this.first);
        Ok(this)
    }

    /// Opens another door, for another scheduler.
    ///
    /// # Errors
    /// If it cannot listen.
    pub async fn door(self: &Rc<Self>) -> io::Result<Door> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let door = Door { address: listener.local_addr()?, caller: Caller::default() };
        self.listen(listener, &door.caller);
        Ok(door)
    }

    fn listen(self: &Rc<Self>, listener: TcpListener, caller: &Caller) {
        let (server, caller) = (Rc::clone(self), Rc::clone(caller));
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (server, caller) = (Rc::clone(&server), Rc::clone(&caller));
                spawn_local(async move { server.serve(stream, caller).await });
            }
        });
    }

    /// Its name in the list.
    pub fn name(&self) -> &str {
        &self.spec.name
    }

    /// Call-backs about what comes in at its address go there from now on.
    pub fn calls(&self, scheduler: SocketAddr) {
        self.first.set(Some(scheduler));
    }

    /// From now on it says nothing, though it works on; or it speaks again.
    pub fn fall_silent(&self, silent: bool) {
        self.silent.set(silent);
    }

    fn load(&self) -> String {
        let (queue, running) = (self.waiting.borrow().len(), self.running.borrow().len());
        format!("eps=0,latency_ms=0,queue={queue},x0={}", self.spec.slots.saturating_sub(running))
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream, caller: Caller) -> io::Result<()> {
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(message) = http::read(&mut stream, &mut buffer, true).await? {
            if self.silent.get() {
                std::future::pending::<()>().await;
            }
            let answer = match message.first.0.as_str() {
                "DELETE" => {
                    let id = message.first.1.rsplit('/').next().unwrap_or_default().to_owned();
                    self.give_up(&id);
                    "HTTP/1.1 200 OK".to_owned()
                }
                _ => match message.header("x-request-id") {
                    None => "HTTP/1.1 404 Not Found".to_owned(),
                    Some(id) => {
                        let key = message.header("idempotency-key").map(str::to_owned);
                        // The body says what the job truly needs, in microseconds.
                        let work =
                            std::str::from_utf8(&message.body).ok().and_then(|t| t.trim().parse().ok());
                        self.take(Held {
                            came: Instant::now(),
                            caller: Rc::clone(&caller),
                            id: id.to_owned(),
                            key,
                            work: Duration::from_micros(work.unwrap_or(1)),
                        })
                    }
                },
            };
            http::write(&mut stream, &answer, b"").await?;
            self.fill();
        }
        Ok(())
    }

    /// Takes a job, and says what is answered.
    fn take(self: &Rc<Self>, held: Held) -> String {
        let full = self.running.borrow().len() >= self.spec.slots;
        if full && self.waiting.borrow().len() >= self.spec.queue {
            return format!("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Load: {}", self.load());
        }
        self.waiting.borrow_mut().push_back(held);
        "HTTP/1.1 202 Accepted".to_owned()
    }

    /// Starts what fits, in order.
    fn fill(self: &Rc<Self>) {
        while self.running.borrow().len() < self.spec.slots {
            let Some(held) = self.waiting.borrow_mut().pop_front() else { return };
            let seen = held.key.as_ref().and_then(|key| self.keys.borrow().get(key).copied());
            if seen.is_some_and(|at| at.elapsed() < self.spec.window) {
                // A repeat takes no effect; whoever asks hears that it is done.
                let this = Rc::clone(self);
                spawn_local(async move {
                    this.call(&held.caller, &held.id, "done", "\"result\":\"repeat\"").await
                });
                continue;
            }
            if let Some(key) = &held.key {
                self.keys.borrow_mut().insert(key.clone(), Instant::now());
            }
            let run = self.journal.began(self.spec.site, &held.id, held.key.as_deref(), held.came);
            self.journal.slots(self.spec.site, -1);
            let (this, id) = (Rc::clone(self), held.id.clone());
            let task = spawn_local(async move { this.run(held, run).await });
            self.running.borrow_mut().insert(id, (task.abort_handle(), run));
        }
    }

    async fn run(self: Rc<Self>, held: Held, run: usize) {
        let age = self.started.elapsed();
        let warmth = self.spec.cold.map_or(1.0, |(share, warm)| {
            (share + (1.0 - share) * age.as_secs_f64() / warm.as_secs_f64()).min(1.0)
        });
        let takes = held.work.div_f64(self.spec.speed * warmth);
        let (began, end) = (Instant::now(), Instant::now() + takes);
        self.tell(&held, "started", String::new());
        while Instant::now() + PROGRESS < end {
            sleep(PROGRESS).await;
            let share = began.elapsed().as_secs_f64() / takes.as_secs_f64();
            self.tell(&held, "running", format!("\"share\":{share:.3}"));
        }
        sleep_until(end).await;
        self.running.borrow_mut().remove(&held.id);
        self.freed(run);
        let result = format!("\"result\":\"map of {}\"", held.id);
        self.fill();
        self.call(&held.caller, &held.id, "done", &result).await;
    }

    fn freed(&self, run: usize) {
        self.journal.ended(run);
        self.journal.slots(self.spec.site, 1);
    }

    fn give_up(self: &Rc<Self>, id: &str) {
        self.waiting.borrow_mut().retain(|held| held.id != id);
        if let Some((task, run)) = self.running.borrow_mut().remove(id) {
            task.abort();
            self.freed(run);
        }
        self.fill();
    }

    fn tell(self: &Rc<Self>, held: &Held, state: &'static str, more: String) {
        let (this, caller, id) = (Rc::clone(self), Rc::clone(&held.caller), held.id.clone());
        spawn_local(async move { this.call(&caller, &id, state, &more).await });
    }

    async fn call(&self, caller: &Caller, id: &str, state: &str, more: &str) {
        let load = self.load().replace('=', "\":").replace(',', ",\"");
        let gap = if more.is_empty() { "" } else { "," };
        let from = &self.spec.name;
        let body =
            format!(r#"{{"id":"{id}","from":"{from}","state":"{state}"{gap}{more},"load":{{"{load}}}}}"#);
        for _ in 0..CALLS.0 {
            let Some(address) = caller.get().filter(|_| !self.silent.get()) else {
                sleep(CALLS.1).await;
                continue;
            };
            if matches!(timeout(CALL, call(address, &body)).await, Ok(Ok(()))) {
                return;
            }
            sleep(CALLS.1).await;
        }
    }
}

async fn call(address: SocketAddr, body: &str) -> io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    let _ = stream.set_nodelay(true);
    http::write(&mut stream, "POST /callback HTTP/1.1\r\nConnection: close", body.as_bytes()).await?;
    http::read(&mut stream, &mut Vec::new(), false).await.map(|_| ())
}
