//! Logs as JSON lines.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, SyncSender, channel, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use env_logger::{Builder, Env, Target};
use log::kv::{self, Key, VisitSource};
use serde_json::{Value, json};

/// The log target whose messages are JSON already.
const TIMELINE_TARGET: &str = "timeline";

/// How many lines may wait to be written; further ones are dropped and counted.
///
/// At 150 bytes a line this is 300 KB, and some seconds of a busy node.
const MAX_QUEUED_LINES: usize = 2_048;

/// The most bytes of one write, but for a longer line: what a pipe takes whole, so that the lines
/// of processes that share one do not mix.
const MAX_WRITE_BYTES: usize = 4_096;

/// How often waiting lines are written, so that one wake-up serves many.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// How long the end of the process waits for the last lines, so that a reader that stalls does not
/// hold it up.
const FINISH_TIMEOUT: Duration = Duration::from_millis(200);

/// Lines that were dropped and not yet told of.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Where logs go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// To standard error, each line at once: for commands that end soon.
    Stderr,
    /// To standard output, by a thread of its own: a reader that stalls costs lines, not requests.
    Stdout,
}

/// What ends logging.
///
/// Guards against the loss of a process's last lines, its stop among them: they wait for the next
/// write, and the process would end before it.
#[derive(Debug)]
pub enum LogHandle {
    /// Nothing waits.
    Unbuffered,
    /// A thread writes what waits.
    Buffered {
        /// Dropped to say that no further line comes.
        shutdown: Sender<()>,
        /// Closed once all is written.
        done: Receiver<()>,
    },
}

impl LogHandle {
    /// Has the last lines written, or gives up after a moment.
    pub fn finish(self) {
        let Self::Buffered { shutdown: more, done } = self else { return };
        drop(more);
        // A reader that stalls costs the last lines.
        let _ = done.recv_timeout(FINISH_TIMEOUT);
    }
}

/// Starts logging; `RUST_LOG` sets the level, `info` if absent.
pub fn start(output: LogOutput) -> io::Result<LogHandle> {
    let mut builder = Builder::from_env(Env::default().default_filter_or("info"));
    let end = match output {
        LogOutput::Stderr => LogHandle::Unbuffered,
        LogOutput::Stdout => {
            let (queue, end) = LineQueue::start()?;
            builder.target(Target::Pipe(Box::new(queue)));
            end
        }
    };
    builder
        .format(|buffer, record| {
            let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let message = record.args().to_string();
            let mut line = json!({
                "wall_ms": since.as_millis() as u64,
                "level": record.level().as_str(),
                "target": record.target(),
            });
            if let Err(error) = record.key_values().visit(&mut FieldWriter { line: &mut line }) {
                line["bad_field"] = error.to_string().into();
            }
            match (record.target(), serde_json::from_str::<Value>(&message)) {
                (TIMELINE_TARGET, Ok(event)) => line["event"] = event,
                _ => line["message"] = message.into(),
            }
            writeln!(buffer, "{line}")
        })
        .init();
    Ok(end)
}

/// Writes the fields of a log record into its line.
struct FieldWriter<'a> {
    line: &'a mut Value,
}

impl<'a> VisitSource<'a> for FieldWriter<'_> {
    fn visit_pair(&mut self, key: Key<'a>, value: kv::Value<'a>) -> Result<(), kv::Error> {
        let number = value.to_u64().map(Value::from);
        let number = number.or_else(|| value.to_f64().map(Value::from));
        let flag = value.to_bool().map(Value::from);
        let field = number.or(flag).unwrap_or_else(|| value.to_string().into());
        self.line[key.as_str()] = field;
        Ok(())
    }
}

/// Takes lines without ever blocking, and hands them to a thread that writes them.
struct LineQueue {
    lines: SyncSender<Vec<u8>>,
}

impl LineQueue {
    fn start() -> io::Result<(Self, LogHandle)> {
        let (lines, waiting) = sync_channel(MAX_QUEUED_LINES);
        let (more, has_more) = channel();
        let (writing, done) = channel();
        std::thread::Builder::new().name("logs".into()).spawn(move || {
            run_writer(&waiting, &has_more);
            drop(writing);
        })?;
        Ok((Self { lines }, LogHandle::Buffered { shutdown: more, done }))
    }
}

impl Write for LineQueue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.lines.try_send(line.to_vec()).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes what waits, some times a second, until no further line comes.
fn run_writer(waiting: &Receiver<Vec<u8>>, has_more: &Receiver<()>) {
    while let Ok(first) = waiting.recv() {
        if write_queued(first, waiting).is_err() {
            // Nobody reads: there is no other place to say so.
            return;
        }
        if has_more.recv_timeout(WRITE_INTERVAL) == Err(RecvTimeoutError::Disconnected) {
            // The same holds here.
            let _ = write_queued(Vec::new(), waiting);
            return;
        }
    }
}

/// Writes a line and all that wait behind it.
fn write_queued(first: Vec<u8>, waiting: &Receiver<Vec<u8>>) -> io::Result<()> {
    let mut batch = first;
    for line in waiting.try_iter() {
        batch.extend_from_slice(&line);
    }
    let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
    if dropped > 0 {
        let line = json!({ "level": "WARN", "target": "logs", "dropped_lines": dropped });
        batch.extend_from_slice(format!("{line}\n").as_bytes());
    }
    write_batch(&batch)
}

/// Writes whole lines, some at a time.
fn write_batch(batch: &[u8]) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    let mut some: Vec<u8> = Vec::with_capacity(MAX_WRITE_BYTES);
    for line in batch.split_inclusive(|byte| *byte == b'\n') {
        if some.len() + line.len() > MAX_WRITE_BYTES {
            stdout.write_all(&some)?;
            stdout.flush()?;
            some.clear();
        }
        some.extend_from_slice(line);
    }
    stdout.write_all(&some)?;
    stdout.flush()
}
