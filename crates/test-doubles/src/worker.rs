//! A test worker with a fixed number of slots and a bounded queue. It simulates the run time of requests, reports their
//! start, progress and end in callbacks, and deduplicates requests by idempotency key within a window.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::callback_faults::{CallbackFaultRates, CallbackFaults};
use crate::journal::RunId;
use crate::{http, Journal};

/// Maximum number of attempts to deliver a callback.
const MAX_CALLBACK_ATTEMPTS: usize = 10;
/// Pause between two attempts to deliver a callback.
const CALLBACK_RETRY_PAUSE: Duration = Duration::from_millis(100);
const CALLBACK_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval between progress callbacks.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(1);

/// The properties of a test worker.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    /// Name in the endpoint list.
    pub name: String,
    /// Number of the site.
    pub site: usize,
    /// Maximum number of running requests.
    pub slots: usize,
    /// Maximum number of queued requests.
    pub queue: usize,
    /// Seconds of work that a slot does per second.
    pub speed: f64,
    /// How long repeats of an idempotency key are dropped.
    pub deduplication_window: Duration,
    /// How the worker warms up, or `None` if it starts at full speed.
    pub warm_up: Option<WarmUp>,
    /// Faults of its callbacks.
    pub callback_faults: CallbackFaultRates,
    /// Seed of the faults.
    pub seed: u64,
}

/// The linear warm-up of a worker after its start.
#[derive(Clone, Copy, Debug)]
pub struct WarmUp {
    /// Fraction of the full speed at the start.
    pub initial_fraction: f64,
    /// Time until the worker reaches its full speed.
    pub duration: Duration,
}

impl WarmUp {
    /// Fraction of the full speed at this age.
    fn fraction(self, age: Duration) -> f64 {
        let gained = (1.0 - self.initial_fraction) * age.as_secs_f64() / self.duration.as_secs_f64();
        (self.initial_fraction + gained).min(1.0)
    }
}

/// The scheduler that receives callbacks, once it is known.
type CallbackTarget = Rc<Cell<Option<SocketAddr>>>;

/// A listener of a worker for one scheduler, which sends requests to it and receives the callbacks about them.
pub struct WorkerListener {
    /// The address of the listener.
    pub address: SocketAddr,
    callback_target: CallbackTarget,
}

impl WorkerListener {
    /// Sets the scheduler that receives the callbacks about requests to this listener.
    pub fn send_callbacks_to(&self, scheduler: SocketAddr) {
        self.callback_target.set(Some(scheduler));
    }
}

struct QueuedRequest {
    received_at: Instant,
    callback_target: CallbackTarget,
    id: String,
    key: Option<String>,
    work: Duration,
}

struct RunningRequest {
    task: AbortHandle,
    run: RunId,
}

/// A running test worker.
pub struct TestWorker {
    /// The address on which the worker listens.
    pub address: SocketAddr,
    spec: WorkerSpec,
    callback_faults: CallbackFaults,
    journal: Journal,
    started_at: Instant,
    /// Callback target of the listener at `address`.
    callback_target: CallbackTarget,
    queued: RefCell<VecDeque<QueuedRequest>>,
    running: RefCell<HashMap<String, RunningRequest>>,
    /// When a request with each idempotency key last started to run.
    key_started_at: RefCell<HashMap<String, Instant>>,
    silent: Cell<bool>,
}

impl TestWorker {
    /// Starts a worker.
    ///
    /// # Errors
    /// If the worker cannot listen on loopback.
    pub async fn start(spec: WorkerSpec, journal: Journal) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        journal.free_slots_changed(spec.site, spec.slots as i64);
        let worker = Rc::new(TestWorker {
            address: listener.local_addr()?,
            callback_faults: CallbackFaults::new(spec.callback_faults, spec.seed),
            spec,
            journal,
            started_at: Instant::now(),
            callback_target: CallbackTarget::default(),
            queued: RefCell::default(),
            running: RefCell::default(),
            key_started_at: RefCell::default(),
            silent: Cell::new(false),
        });
        worker.listen(listener, &worker.callback_target);
        Ok(worker)
    }

    /// Opens another listener, for another scheduler.
    ///
    /// # Errors
    /// If the worker cannot listen on loopback.
    pub async fn add_listener(self: &Rc<Self>) -> io::Result<WorkerListener> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let callback_target = CallbackTarget::default();
        self.listen(listener, &callback_target);
        Ok(WorkerListener { address, callback_target })
    }

    fn listen(self: &Rc<Self>, listener: TcpListener, callback_target: &CallbackTarget) {
        let (worker, callback_target) = (Rc::clone(self), Rc::clone(callback_target));
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (worker, callback_target) = (Rc::clone(&worker), Rc::clone(&callback_target));
                spawn_local(async move { worker.serve(stream, callback_target).await });
            }
        });
    }

    /// Returns the name in the endpoint list.
    pub fn name(&self) -> &str {
        &self.spec.name
    }

    /// Sets the scheduler that receives the callbacks about requests to `address`.
    pub fn send_callbacks_to(&self, scheduler: SocketAddr) {
        self.callback_target.set(Some(scheduler));
    }

    /// Sets whether the worker is silent. A silent worker sends no answers and no callbacks, but continues to run
    /// requests.
    pub fn set_silent(&self, silent: bool) {
        self.silent.set(silent);
    }

    fn load_report(&self) -> String {
        let (queue, running) = (self.queued.borrow().len(), self.running.borrow().len());
        format!("eps=0,latency_ms=0,queue={queue},x0={}", self.spec.slots.saturating_sub(running))
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream, callback_target: CallbackTarget) -> io::Result<()> {
        // A failure only makes answers slower.
        let _ = stream.set_nodelay(true);
        let mut buffer = Vec::new();
        while let Some(message) = http::read_request(&mut stream, &mut buffer).await? {
            if self.silent.get() {
                std::future::pending::<()>().await;
            }
            let answer = self.answer(&message, &callback_target);
            http::write(&mut stream, &answer, b"").await?;
            self.start_queued();
        }
        Ok(())
    }

    fn answer(self: &Rc<Self>, message: &http::Message, callback_target: &CallbackTarget) -> String {
        if message.method() == "DELETE" {
            let id = message.target().rsplit('/').next().unwrap_or_default();
            self.cancel(id);
            return "HTTP/1.1 200 OK".to_owned();
        }
        let Some(id) = message.header("x-request-id") else { return "HTTP/1.1 404 Not Found".to_owned() };
        // The body is the actual work of the request in microseconds.
        let work_us = std::str::from_utf8(&message.body).ok().and_then(|text| text.trim().parse().ok());
        self.enqueue(QueuedRequest {
            received_at: Instant::now(),
            callback_target: Rc::clone(callback_target),
            id: id.to_owned(),
            key: message.header("idempotency-key").map(str::to_owned),
            work: Duration::from_micros(work_us.unwrap_or(1)),
        })
    }

    fn enqueue(&self, request: QueuedRequest) -> String {
        let slots_full = self.running.borrow().len() >= self.spec.slots;
        let queue_full = self.queued.borrow().len() >= self.spec.queue;
        if slots_full && queue_full {
            return format!("HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nX-Load: {}", self.load_report());
        }
        self.queued.borrow_mut().push_back(request);
        "HTTP/1.1 202 Accepted".to_owned()
    }

    /// Starts queued requests in order while slots are free.
    fn start_queued(self: &Rc<Self>) {
        while self.running.borrow().len() < self.spec.slots {
            let Some(request) = self.queued.borrow_mut().pop_front() else { return };
            if self.callback_faults.hands_back() {
                self.callback_in_background(&Rc::new(request), "returned", String::new());
                continue;
            }
            if self.is_repeat(&request) {
                // A repeat has no effect, but its scheduler is notified that it is done.
                let worker = Rc::clone(self);
                spawn_local(async move {
                    worker.callback(&request, "done", "\"result\":\"repeat\"").await;
                });
                continue;
            }
            if let Some(key) = &request.key {
                self.key_started_at.borrow_mut().insert(key.clone(), Instant::now());
            }
            let run = self.journal.run_started(
                self.spec.site,
                &request.id,
                request.key.as_deref(),
                request.received_at,
            );
            self.journal.free_slots_changed(self.spec.site, -1);
            let (worker, id) = (Rc::clone(self), request.id.clone());
            let task = spawn_local(async move { worker.run(request, run).await }).abort_handle();
            self.running.borrow_mut().insert(id, RunningRequest { task, run });
        }
    }

    fn is_repeat(&self, request: &QueuedRequest) -> bool {
        let Some(key) = &request.key else { return false };
        let last_started_at = self.key_started_at.borrow().get(key).copied();
        last_started_at.is_some_and(|at| at.elapsed() < self.spec.deduplication_window)
    }

    async fn run(self: Rc<Self>, request: QueuedRequest, run: RunId) {
        let age = self.started_at.elapsed();
        let speed_fraction = self.spec.warm_up.map_or(1.0, |warm_up| warm_up.fraction(age));
        let duration = request.work.div_f64(self.spec.speed * speed_fraction);
        let is_lost = self.callback_faults.loses_run();
        let (started_at, end) =
            (Instant::now(), Instant::now() + if is_lost { duration / 2 } else { duration });
        let request = Rc::new(request);
        self.callback_in_background(&request, "started", String::new());
        while Instant::now() + PROGRESS_INTERVAL < end {
            sleep(PROGRESS_INTERVAL).await;
            let done = started_at.elapsed().as_secs_f64() / duration.as_secs_f64();
            self.callback_in_background(&request, "running", format!("\"share\":{done:.3}"));
        }
        sleep_until(end).await;
        self.running.borrow_mut().remove(&request.id);
        self.end_run(run);
        self.start_queued();
        if is_lost {
            self.callback(&request, "lost", "").await;
            return;
        }
        let result = format!("\"result\":\"map of {}\"", request.id);
        self.callback(&request, "done", &result).await;
    }

    fn end_run(&self, run: RunId) {
        self.journal.run_ended(run);
        self.journal.free_slots_changed(self.spec.site, 1);
    }

    fn cancel(self: &Rc<Self>, id: &str) {
        self.queued.borrow_mut().retain(|request| request.id != id);
        let running = self.running.borrow_mut().remove(id);
        if let Some(RunningRequest { task, run }) = running {
            task.abort();
            self.end_run(run);
        }
        self.start_queued();
    }

    fn callback_in_background(
        self: &Rc<Self>,
        request: &Rc<QueuedRequest>,
        state: &'static str,
        detail: String,
    ) {
        let (worker, request) = (Rc::clone(self), Rc::clone(request));
        spawn_local(async move { worker.callback(&request, state, &detail).await });
    }

    /// Sends the scheduler a callback about a request, with a bounded number of attempts.
    async fn callback(&self, request: &QueuedRequest, state: &str, detail: &str) {
        let load = self.load_report().replace('=', "\":").replace(',', ",\"");
        let separator = if detail.is_empty() { "" } else { "," };
        let (id, from) = (&request.id, &self.spec.name);
        let body = format!(
            r#"{{"id":"{id}","from":"{from}","state":"{state}"{separator}{detail},"load":{{"{load}}}}}"#
        );
        for _ in 0..MAX_CALLBACK_ATTEMPTS {
            let target = request.callback_target.get().filter(|_| !self.silent.get());
            let Some(address) = target else {
                sleep(CALLBACK_RETRY_PAUSE).await;
                continue;
            };
            let delivered = timeout(CALLBACK_TIMEOUT, post_callback(address, &body)).await;
            let mut pause = CALLBACK_RETRY_PAUSE;
            if matches!(delivered, Ok(Ok(()))) {
                let Some(repeat_delay) = self.callback_faults.repeat_delay() else { return };
                pause = repeat_delay;
            }
            sleep(pause).await;
        }
    }
}

async fn post_callback(address: SocketAddr, body: &str) -> io::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    // A failure only makes the callback slower.
    let _ = stream.set_nodelay(true);
    http::write(&mut stream, "POST /callback HTTP/1.1\r\nConnection: close", body.as_bytes()).await?;
    http::read_response(&mut stream, &mut Vec::new()).await?;
    Ok(())
}
