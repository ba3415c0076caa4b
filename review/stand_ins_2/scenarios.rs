// Included by rig.rs.

use super::*;
use std::io::ErrorKind;
use std::sync::atomic::AtomicBool;

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];
const EDGE_MEMORY_MB: u32 = 260;
const STORE_MEMORY_MB: u32 = 290;

pub fn run(scenario: &str, has_trouble: bool, work: &Path, record: &Arc<Record>) -> i32 {
    match scenario {
        "crowd" => crowd(has_trouble, work, record),
        "retire" => retire(has_trouble, work, record),
        "small-set" => small_set(has_trouble, work, record),
        _ => 2,
    }
}

/// A small deployment: some edge machines and three storage machines. The stand-ins last as long as it.
pub struct Deployment {
    pub platform: Platform,
    _replicas: Replicas,
    pub edges: Vec<Process>,
    pub stores: Vec<Process>,
}

impl Deployment {
    /// Prepares the processes, the first of them at a given address. `seed_of` returns the seeds of a machine, given its
    /// number among all.
    pub fn prepare_with(
        work: &Path,
        edges: usize,
        stores: usize,
        first: Option<SocketAddr>,
        seed_of: impl Fn(usize, &[SocketAddr]) -> Vec<SocketAddr>,
    ) -> Self {
        let platform = Platform::start();
        platform.put("config", "main", configuration(40.0, 7_500.0));
        let replicas = Replicas::start(6, &platform, &ZONES);
        let mut addresses: Vec<SocketAddr> =
            (0..edges + stores).map(|_| SocketAddr::from(([127, 0, 0, 1], free_port()))).collect();
        if let Some(first) = first {
            addresses[0] = first;
        }
        let prepare = |number: usize| {
            let is_store = number >= edges;
            let within = if is_store { number - edges } else { number };
            let name = format!("{}-{}", if is_store { "storage" } else { "edge" }, within + 1);
            let plan = Plan {
                name: &name,
                zone: ZONES[within % ZONES.len()],
                is_store,
                memory_mb: if is_store { STORE_MEMORY_MB } else { EDGE_MEMORY_MB },
                seeds: seed_of(number, &addresses),
                peers: addresses[number],
            };
            Process::prepare(work, platform.address, &ZONES, &plan)
        };
        let all: Vec<Process> = (0..edges + stores).map(prepare).collect();
        let mut edge_processes = all;
        let stores = edge_processes.split_off(edges);
        Self { platform, _replicas: replicas, edges: edge_processes, stores }
    }

    pub fn start_all(&mut self) {
        self.stores.iter_mut().for_each(Process::start);
        self.edges.iter_mut().for_each(Process::start);
    }
}

/// Submits a job at one node after another until it is accepted; returns whether it was by `until`.
pub fn submit(record: &Record, edges: &[SocketAddr], id: &str, body: &[u8], until: Instant) -> bool {
    let mut attempt = 0;
    while Instant::now() < until {
        let edge = edges[attempt % edges.len()];
        let began = Instant::now();
        let (status, _) = call(edge, "POST", "/rollout/job", &[("Attempt-Id", id)], body, Duration::from_secs(5));
        record.write(&format!(
            "job {id} ({} bytes) at node {}: {status} after {} ms",
            body.len(),
            attempt % edges.len() + 1,
            began.elapsed().as_millis()
        ));
        if status == 202 {
            return true;
        }
        attempt += 1;
        thread::sleep(Duration::from_millis(if status == 503 || status == 429 { 300 } else { 100 }));
    }
    false
}

/// Reads a job to its end; returns the results by `until`.
pub fn read_all(record: &Record, edges: &[SocketAddr], id: &str, until: Instant) -> Reading {
    let mut whole = Reading::default();
    let mut attempt = 0;
    let mut last_status = 0;
    while Instant::now() < until {
        let reading = read_job(edges[attempt % edges.len()], id, whole.results.len());
        if reading.status != last_status {
            record.write(&format!("read {id} from {} at node {}: {}", whole.results.len(), attempt % edges.len() + 1, reading.status));
            last_status = reading.status;
        }
        whole.status = reading.status;
        if reading.status == 200 {
            whole.total = reading.total;
            whole.results.extend(reading.results);
            if whole.results.len() >= whole.total && whole.total > 0 {
                break;
            }
        }
        attempt += 1;
        thread::sleep(Duration::from_millis(300));
    }
    record.write(&format!("read {id}: {} of {} results, last status {}", whole.results.len(), whole.total, whole.status));
    whole
}

fn callers(edges: &[Process]) -> Vec<SocketAddr> {
    edges.iter().map(|edge| edge.callers).collect()
}

fn show_memory(system: &Deployment, record: &Record, when: &str) {
    let mut line = format!("memory {when}:");
    for process in system.edges.iter().chain(&system.stores) {
        if let Some(own) = process.memory_mb() {
            line.push_str(&format!(" {} {own:.0}", process.name));
        }
    }
    record.write(&line);
}

/// Kills processes over the memory of their machine, as the platform does, and starts them again a second later.
fn supervise(edges: &mut [Process], ends: &mut [u32], down: &mut [Option<Instant>], record: &Record) {
    for (number, edge) in edges.iter_mut().enumerate() {
        if let Some(since) = down[number] {
            if since.elapsed() >= Duration::from_secs(1) {
                edge.start();
                down[number] = None;
            }
            continue;
        }
        let Some(own) = edge.memory_mb() else { continue };
        if own > f64::from(EDGE_MEMORY_MB) {
            edge.kill();
            ends[number] += 1;
            down[number] = Some(Instant::now());
            record.write(&format!("{} takes {own:.0} MB of {EDGE_MEMORY_MB} and ends, {} times by now", edge.name, ends[number]));
        }
    }
}

/// Bytes that a caller of the crowd leaves out.
const MISSING_BYTES: usize = 2_000;

/// Sends a job without its last bytes, and then nothing more until the connection is answered or closed.
fn stop_short(address: SocketAddr, body: &[u8], is_over: &AtomicBool) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_write_timeout(Some(Duration::from_secs(5)))?;
    stream.set_read_timeout(Some(Duration::from_millis(500)))?;
    let head = format!(
        "POST /rollout/job HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: {:016x}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        fresh_number(),
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(&body[..body.len() - MISSING_BYTES])?;
    let mut answer = [0; 512];
    while !is_over.load(Ordering::Relaxed) {
        match stream.read(&mut answer) {
            Ok(_) => return Ok(()),
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn fresh_number() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(0x5e4d_0000_0000_0001);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// A trainer hands in jobs until one is refused. A crowd of other callers then sends bodies of legal size, long and short,
/// each of which stops just short of its end and stays open.
fn crowd(has_trouble: bool, work: &Path, record: &Arc<Record>) -> i32 {
    const EDGES: usize = 3;
    const JOB_ITEMS: usize = 3_000;
    const JOB_ITEM_BYTES: usize = 2_000;
    const MOST_JOBS: u64 = 30;
    /// Callers of the crowd at each node, and the items of 12,000 bytes in each of their bodies.
    const CALLERS: [(usize, usize); 2] = [(12, 1_000), (150, 15)];
    const CROWD_ITEM_BYTES: usize = 12_000;
    const LOAD: Duration = Duration::from_secs(70);
    let mut system = Deployment::prepare_with(work, EDGES, 3, None, |_, all| vec![all[0], all[3], all[4]]);
    system.start_all();
    let edges = callers(&system.edges);
    if !submit(record, &edges, "first", &job("first", 0, 8, 100), Instant::now() + Duration::from_secs(30)) {
        return 2;
    }
    let first = read_all(record, &edges, "first", Instant::now() + Duration::from_secs(10));
    for step in 1..=MOST_JOBS {
        let id = format!("step{step}");
        let body = job(&id, step, JOB_ITEMS, JOB_ITEM_BYTES);
        if !submit(record, &edges, &id, &body, Instant::now() + Duration::from_secs(1)) {
            break;
        }
    }
    show_memory(&system, record, "after these jobs");
    let is_over = Arc::new(AtomicBool::new(false));
    for (callers, items) in CALLERS.into_iter().filter(|_| has_trouble) {
        let body = Arc::new(job("short", 100, items, CROWD_ITEM_BYTES));
        record.write(&format!(
            "{callers} callers at each node send {} of {} bytes and stay open",
            body.len() - MISSING_BYTES,
            body.len()
        ));
        for edge in edges.iter().copied().flat_map(|edge| vec![edge; callers]) {
            let (is_over, body) = (Arc::clone(&is_over), Arc::clone(&body));
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let _ = stop_short(edge, &body, &is_over);
                    thread::sleep(Duration::from_secs(1));
                }
            });
        }
    }
    let began = Instant::now();
    let (mut ends, mut down) = (vec![0; EDGES], vec![None; EDGES]);
    let mut shown = Instant::now();
    while began.elapsed() < LOAD {
        supervise(&mut system.edges, &mut ends, &mut down, record);
        if shown.elapsed() >= Duration::from_secs(2) {
            show_memory(&system, record, "now");
            shown = Instant::now();
        }
        thread::sleep(Duration::from_millis(20));
    }
    is_over.store(true, Ordering::Relaxed);
    let often = ends.iter().filter(|ends| **ends >= 3).count();
    record.write(&format!("ends by memory, by edge machine: {ends:?}"));
    let again = read_all(record, &edges, "first", Instant::now() + Duration::from_secs(8));
    record.write(&format!("the first job can be read: {}", again.results == first.results));
    i32::from(often >= 2)
}

/// Forwards datagrams between a machine and its seed, or drops them while it is cut off.
fn start_seed_link(seed: SocketAddr, is_cut: Arc<AtomicBool>) -> SocketAddr {
    let outer = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let address = outer.local_addr().expect("an address");
    let inner = UdpSocket::bind("127.0.0.1:0").expect("a port");
    let machine: Arc<Mutex<Option<SocketAddr>>> = Arc::default();
    let (outer_back, inner_back, machine_back) =
        (outer.try_clone().expect("a socket"), inner.try_clone().expect("a socket"), Arc::clone(&machine));
    let is_cut_back = Arc::clone(&is_cut);
    thread::spawn(move || {
        let mut buffer = [0; 65_536];
        while let Ok((length, from)) = outer.recv_from(&mut buffer) {
            *machine.lock().expect("the machine") = Some(from);
            if !is_cut.load(Ordering::SeqCst) {
                let _ = inner.send_to(&buffer[..length], seed);
            }
        }
    });
    thread::spawn(move || {
        let mut buffer = [0; 65_536];
        while let Ok((length, _)) = inner_back.recv_from(&mut buffer) {
            let to = *machine_back.lock().expect("the machine");
            if let Some(to) = to.filter(|_| !is_cut_back.load(Ordering::SeqCst)) {
                let _ = outer_back.send_to(&buffer[..length], to);
            }
        }
    });
    address
}

/// A storage machine is partitioned from the others for the first seconds, and another one loses its disk once a job was
/// accepted and its results were read. All machines are back a few seconds later.
fn small_set(has_trouble: bool, work: &Path, record: &Arc<Record>) -> i32 {
    const CUT: Duration = Duration::from_secs(10);
    const DISK_AWAY: Duration = Duration::from_secs(1);
    const RECOVER: Duration = Duration::from_secs(12);
    let only = std::env::var("ONLY").unwrap_or_default();
    let (has_cut, has_loss) = (has_trouble && only != "loss", has_trouble && only != "cut");
    let is_cut = Arc::new(AtomicBool::new(has_cut));
    let seed = SocketAddr::from(([127, 0, 0, 1], free_port()));
    let link = start_seed_link(seed, Arc::clone(&is_cut));
    let mut system = Deployment::prepare_with(work, 2, 3, Some(seed), |number, all| {
        if number == 4 { vec![link] } else { vec![all[0], all[2], all[3]] }
    });
    let began = Instant::now();
    system.start_all();
    record.write(if has_cut { "all machines start; storage-3 is cut off" } else { "all machines start" });
    let edges = callers(&system.edges);
    let items = 8;
    if !submit(record, &edges, "acked", &job("acked", 0, items, 600), began + Duration::from_secs(25)) {
        record.write("the first job was not accepted");
        return 2;
    }
    let first = read_all(record, &edges, "acked", Instant::now() + Duration::from_secs(10));
    if !is_whole(&first, "acked", items) {
        record.write("the first job did not complete");
        return 2;
    }
    if has_loss {
        system.stores[0].kill();
        system.stores[0].wipe();
        record.write("storage-1 lost power and its disk");
        thread::sleep(DISK_AWAY);
        system.stores[0].start();
        record.write("storage-1 is back with an empty disk");
    }
    if let Some(left) = CUT.checked_sub(began.elapsed()).filter(|_| has_cut) {
        thread::sleep(left);
    }
    is_cut.store(false, Ordering::SeqCst);
    record.write("no machine is cut off any more");
    let back = Instant::now();
    thread::sleep(RECOVER);
    // All machines have been back for the time in which the service has to recover.
    let again = read_all(record, &edges, "acked", back + Duration::from_secs(45));
    let is_kept = is_whole(&again, "acked", items) && again.results == first.results;
    let is_served = submit(record, &edges, "later", &job("later", 1, items, 600), Instant::now() + Duration::from_secs(8));
    record.write(&format!("the accepted job can be read: {is_kept}; a later job is accepted: {is_served}"));
    if is_kept { 0 } else { 1 }
}

fn is_whole(reading: &Reading, id: &str, items: usize) -> bool {
    let is_right = |(item, state, text): &(String, String, String)| state == "complete" && *text == whole_text(item);
    let known: Vec<String> = (0..items).map(|number| item_id(id, number)).collect();
    reading.results.len() == items
        && reading.results.iter().all(is_right)
        && known.iter().all(|item| reading.results.iter().any(|(read, ..)| read == item))
}

/// What became of one deployment of [`retire`].
enum Outcome {
    Kept,
    Lost,
    NotRun(&'static str),
}

/// A storage machine is emptied and taken away while a new one takes its place. Right after the retirement is complete
/// another one loses its disk, and once that is back for `sync_s` a third one. Several deployments do the same.
fn retire(has_trouble: bool, work: &Path, record: &Arc<Record>) -> i32 {
    const DEPLOYMENTS: usize = 16;
    const LAST_START: Duration = Duration::from_secs(70);
    EVENTS.store(4, Ordering::Relaxed);
    let began = Instant::now();
    let has_lost: Arc<AtomicBool> = Arc::default();
    let run_all = |number: usize| {
        let (record, work, has_lost) = (Arc::clone(record), work.to_owned(), Arc::clone(&has_lost));
        thread::spawn(move || {
            let (mut kept, mut lost, mut not_run) = (0, 0, 0);
            let mut round = 0;
            while began.elapsed() < LAST_START && !has_lost.load(Ordering::Relaxed) {
                round += 1;
                let name = format!("{number}.{round}");
                let folder = work.join(&name);
                fs::create_dir_all(&folder).expect("a folder");
                match retire_once(has_trouble, &folder, &name, &record) {
                    Outcome::Kept => kept += 1,
                    Outcome::Lost => {
                        lost += 1;
                        has_lost.store(true, Ordering::Relaxed);
                    }
                    Outcome::NotRun(reason) => {
                        record.write(&format!("deployment {name}: could not run: {reason}"));
                        not_run += 1;
                    }
                }
                let _ = fs::remove_dir_all(&folder);
            }
            (kept, lost, not_run)
        })
    };
    let threads: Vec<_> = (0..DEPLOYMENTS).map(run_all).collect();
    let ended: Vec<(u32, u32, u32)> = threads.into_iter().map(|thread| thread.join().unwrap_or((0, 0, 1))).collect();
    let sum = |of: fn(&(u32, u32, u32)) -> u32| ended.iter().map(of).sum::<u32>();
    let (kept, lost, not_run) = (sum(|ended| ended.0), sum(|ended| ended.1), sum(|ended| ended.2));
    record.write(&format!("deployments: {kept} kept the accepted job, {lost} lost it, {not_run} could not run"));
    match (kept, lost) {
        (_, 1..) => 1,
        (0, 0) => 2,
        _ => 0,
    }
}

fn retire_once(has_trouble: bool, work: &Path, name: &str, record: &Record) -> Outcome {
    const SYNC: Duration = Duration::from_millis(4_650);
    const DISK_AWAY: Duration = Duration::from_millis(300);
    /// `recover_s` and `sync_s`, and 13 s more.
    const READ: Duration = Duration::from_secs(30);
    const ITEMS: usize = 1_300;
    let note = |line: &str| record.write(&format!("deployment {name}: {line}"));
    let mut system = Deployment::prepare_with(work, 2, 4, None, |_, all| vec![all[0], all[2], all[3]]);
    system.stores[..3].iter_mut().for_each(Process::start);
    system.edges.iter_mut().for_each(Process::start);
    let edges = callers(&system.edges);
    if !accept(&edges, "acked", &job("acked", 0, ITEMS, 3_000), Instant::now() + Duration::from_secs(20)) {
        return Outcome::NotRun("the job was not accepted");
    }
    system.stores[3].start();
    let joined = Instant::now();
    let first = read_whole(&edges, "acked", Instant::now() + Duration::from_secs(20));
    if !is_whole(&first, "acked", ITEMS) {
        return Outcome::NotRun("the job did not complete");
    }
    note("the job was accepted and read");
    thread::sleep(SYNC.saturating_sub(joined.elapsed()));
    if has_trouble {
        system.platform.put("retirements", "storage-3", table(&[("duration_s", num(9.0))]));
        let until = Instant::now() + Duration::from_secs(9);
        while system.platform.state_of("retirements", "storage-3") != "complete" {
            if Instant::now() >= until {
                return Outcome::NotRun("the retirement was not completed");
            }
            thread::sleep(Duration::from_millis(5));
        }
        system.stores[2].kill();
        system.stores[2].wipe();
        system.stores[0].kill();
        system.stores[0].wipe();
        note("storage-3 is retired and gone, storage-1 has lost its disk");
        thread::sleep(DISK_AWAY);
        system.stores[0].start();
        thread::sleep(SYNC);
        system.stores[1].kill();
        system.stores[1].wipe();
        note("storage-2 has lost its disk");
        thread::sleep(DISK_AWAY);
        system.stores[1].start();
    }
    let again = read_whole(&edges, "acked", Instant::now() + READ);
    let is_kept = again.results == first.results;
    note(if is_kept { "the job can be read" } else { "the job can't be read any more" });
    if is_kept {
        return Outcome::Kept;
    }
    for edge in &system.edges {
        let text = fs::read_to_string(&edge.log).unwrap_or_default();
        let reason = text.lines().rev().find(|line| line.contains("store replicas answered"));
        note(&format!("{}, last: {}", edge.name, reason.unwrap_or("nothing on the stores")));
    }
    Outcome::Lost
}

/// Submits a job until it is accepted, without a record of each call.
fn accept(edges: &[SocketAddr], id: &str, body: &[u8], until: Instant) -> bool {
    let mut attempt = 0;
    while Instant::now() < until {
        let edge = edges[attempt % edges.len()];
        if call(edge, "POST", "/rollout/job", &[("Attempt-Id", id)], body, Duration::from_secs(5)).0 == 202 {
            return true;
        }
        attempt += 1;
        thread::sleep(Duration::from_millis(200));
    }
    false
}

/// Reads a job to its end, without a record of each call.
fn read_whole(edges: &[SocketAddr], id: &str, until: Instant) -> Reading {
    let mut whole = Reading::default();
    let mut attempt = 0;
    while Instant::now() < until {
        let reading = read_job(edges[attempt % edges.len()], id, whole.results.len());
        if reading.status == 200 {
            whole.total = reading.total;
            whole.results.extend(reading.results);
            if whole.results.len() >= whole.total && whole.total > 0 {
                break;
            }
        }
        attempt += 1;
        thread::sleep(Duration::from_millis(200));
    }
    whole
}
