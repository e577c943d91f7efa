//! A sound worker: it takes each job, tells of its start and progress, and is done after its time.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;

/// Time, worker and id of each attempt.
pub type Seen = Arc<Mutex<Vec<(f64, String, String)>>>;

/// Starts a worker for each of `ids` and returns their addresses. One thread accepts the connections of all of them.
pub fn start_workers(
    record: &Arc<Record>,
    ids: &[String],
    callbacks: SocketAddr,
    run_ms: u64,
    seen: &Seen,
) -> Vec<SocketAddr> {
    let listeners: Vec<TcpListener> = ids.iter().map(|_| listen()).collect();
    let addresses = listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
    for listener in &listeners {
        listener.set_nonblocking(true).unwrap();
    }
    let (record, seen, ids) = (Arc::clone(record), Arc::clone(seen), ids.to_vec());
    spawn(move || loop {
        for (listener, id) in listeners.iter().zip(&ids) {
            while let Ok((stream, _)) = listener.accept() {
                let (record, id, seen) = (Arc::clone(&record), id.clone(), Arc::clone(&seen));
                spawn(move || serve(stream, &record, &id, callbacks, run_ms, &seen));
            }
        }
        sleep_ms(3);
    });
    addresses
}

fn serve(
    mut stream: TcpStream,
    record: &Arc<Record>,
    id: &str,
    callbacks: SocketAddr,
    run_ms: u64,
    seen: &Seen,
) {
    let _ = stream.set_nonblocking(false);
    let _ = stream.set_nodelay(true);
    while let Ok(Some(request)) = read_message(&mut stream) {
        record.line(format!("worker   {id} gets {}", request.first_line));
        if request.method() == "DELETE" {
            let _ = answer(&mut stream, "200 OK");
            continue;
        }
        seen.lock().unwrap().push((record.now(), id.to_owned(), request.id()));
        if answer(&mut stream, "202 Accepted").is_err() {
            return;
        }
        let (record, id, job) = (Arc::clone(record), id.to_owned(), request.id());
        spawn(move || run(&record, &id, &job, callbacks, run_ms));
    }
}

pub fn answer(stream: &mut TcpStream, status: &str) -> io::Result<()> {
    stream.write_all(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes())
}

/// Runs a job and tells of its start, its progress each second and its end.
pub fn run(record: &Record, worker: &str, job: &str, callbacks: SocketAddr, run_ms: u64) {
    let start = Instant::now();
    callback(record, callbacks, &format!(r#"{{"id":"{job}","from":"{worker}","state":"started"}}"#));
    for second in 1..=(run_ms.saturating_sub(1) / 1000) {
        thread::sleep(Duration::from_secs(second).saturating_sub(start.elapsed()));
        let share = (1000 * second) as f64 / run_ms as f64;
        callback(
            record,
            callbacks,
            &format!(r#"{{"id":"{job}","from":"{worker}","state":"running","share":{share:.2}}}"#),
        );
    }
    thread::sleep(Duration::from_millis(run_ms).saturating_sub(start.elapsed()));
    let load = format!(r#"{{"eps":0,"latency_ms":{run_ms},"queue":0,"x0":3}}"#);
    callback(
        record,
        callbacks,
        &format!(
            r#"{{"id":"{job}","from":"{worker}","state":"done","result":"map of {job}","load":{load}}}"#
        ),
    );
}
