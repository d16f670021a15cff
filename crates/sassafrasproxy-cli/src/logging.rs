//! Writes log records as JSON lines.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, Sender, SyncSender, channel, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use env_logger::{Builder, Env, Target};
use log::kv::{self, Key, VisitSource};
use serde_json::{Value, json};

/// The log target whose messages are already JSON.
const TIMELINE_TARGET: &str = "timeline";

/// The maximum number of lines that wait to be written; further ones are dropped and counted.
///
/// At 150 bytes a line this is 300 KB, which a busy node logs within some seconds.
const MAX_QUEUED_LINES: usize = 2_048;

/// The maximum number of bytes in one write, unless a single line is longer.
///
/// A pipe accepts this many bytes atomically, so the lines of processes that share a pipe do not
/// mix.
const MAX_WRITE_BYTES: usize = 4_096;

/// The time between two writes of queued lines, so that one wake-up serves many lines.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);

/// The maximum time that an ending process waits for the last lines to be written, so that a
/// stalled reader does not delay it.
const FINISH_TIMEOUT: Duration = Duration::from_millis(200);

/// The number of dropped lines that are not yet reported in the log.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// The destination of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard error, with each line written at once; for short-running commands.
    Stderr,
    /// Standard output, written by a separate thread: a stalled reader causes dropped lines, but
    /// does not delay requests.
    Stdout,
}

/// A handle that ends logging and waits for the last lines to be written.
///
/// Lines wait for the next write, so a process that ended at once would lose its last lines,
/// including the one that reports its shutdown.
#[derive(Debug)]
pub enum LogHandle {
    /// Each line is written at once, so no lines wait.
    Unbuffered,
    /// A thread writes the queued lines.
    Buffered {
        /// Dropped to make the thread write the queued lines and end.
        shutdown: Sender<()>,
        /// Disconnects when the thread ends.
        done: Receiver<()>,
    },
}

impl LogHandle {
    /// Waits until the last lines are written, for at most `FINISH_TIMEOUT`.
    pub fn finish(self) {
        let Self::Buffered { shutdown, done } = self else { return };
        drop(shutdown);
        // After the timeout the last lines are lost; a stalled reader must not delay the exit.
        let _ = done.recv_timeout(FINISH_TIMEOUT);
    }
}

/// Starts logging; `RUST_LOG` sets the level, which is `info` by default.
///
/// Fails if the thread that writes to standard output cannot be started.
pub fn start(output: LogOutput) -> io::Result<LogHandle> {
    let mut builder = Builder::from_env(Env::default().default_filter_or("info"));
    let handle = match output {
        LogOutput::Stderr => LogHandle::Unbuffered,
        LogOutput::Stdout => {
            let (queue, handle) = LineQueue::start()?;
            builder.target(Target::Pipe(Box::new(queue)));
            handle
        }
    };
    builder
        .format(|buffer, record| {
            let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let message = record.args().to_string();
            let mut line = json!({
                "wall_ms": since_epoch.as_millis() as u64,
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
    Ok(handle)
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

/// Accepts lines without blocking and passes them to the writer thread.
struct LineQueue {
    lines: SyncSender<Vec<u8>>,
}

impl LineQueue {
    fn start() -> io::Result<(Self, LogHandle)> {
        let (lines, queued_lines) = sync_channel(MAX_QUEUED_LINES);
        let (shutdown, shutdown_signal) = channel();
        let (done_sender, done) = channel();
        std::thread::Builder::new().name("logs".into()).spawn(move || {
            run_writer(&queued_lines, &shutdown_signal);
            drop(done_sender);
        })?;
        Ok((Self { lines }, LogHandle::Buffered { shutdown, done }))
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

/// Writes the queued lines at most once per `WRITE_INTERVAL`, until the shutdown signal or a write
/// error.
fn run_writer(queued_lines: &Receiver<Vec<u8>>, shutdown_signal: &Receiver<()>) {
    while let Ok(first) = queued_lines.recv() {
        if write_queued(first, queued_lines).is_err() {
            // Standard output cannot be written, and there is no other place to report this.
            return;
        }
        if shutdown_signal.recv_timeout(WRITE_INTERVAL) == Err(RecvTimeoutError::Disconnected) {
            // A write error cannot be reported here either.
            let _ = write_queued(Vec::new(), queued_lines);
            return;
        }
    }
}

/// Writes a line and all lines that are queued behind it.
fn write_queued(first: Vec<u8>, queued_lines: &Receiver<Vec<u8>>) -> io::Result<()> {
    let mut batch = first;
    for line in queued_lines.try_iter() {
        batch.extend_from_slice(&line);
    }
    let dropped = DROPPED_LINES.swap(0, Ordering::Relaxed);
    if dropped > 0 {
        let line = json!({ "level": "WARN", "target": "logs", "dropped_lines": dropped });
        batch.extend_from_slice(format!("{line}\n").as_bytes());
    }
    write_batch(&batch)
}

/// Writes lines in chunks of whole lines, each up to `MAX_WRITE_BYTES` unless one line is longer.
fn write_batch(batch: &[u8]) -> io::Result<()> {
    let mut stdout = io::stdout().lock();
    let mut chunk: Vec<u8> = Vec::with_capacity(MAX_WRITE_BYTES);
    for line in batch.split_inclusive(|byte| *byte == b'\n') {
        if chunk.len() + line.len() > MAX_WRITE_BYTES {
            stdout.write_all(&chunk)?;
            stdout.flush()?;
            chunk.clear();
        }
        chunk.extend_from_slice(line);
    }
    stdout.write_all(&chunk)?;
    stdout.flush()
}
