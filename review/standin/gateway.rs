//! Starts the gateway as the deploy file does.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// A gateway process; killed on drop.
pub struct Gateway {
    child: Child,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub directory: SocketAddr,
    pub peers: SocketAddr,
}

impl Gateway {
    /// Starts `target/release/sassafrasproxy gateway` with the settings that `platform/gateway.yaml`
    /// gives for the deployment kivu-glue.
    pub fn start(
        dir: &Path,
        name: &str,
        zone: &str,
        store: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Self {
        let [callers, ready, directory, peers, relay] = free_addresses();
        let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let settings = format!(
            "name: \"{name}\"\nfailure_domain: \"{zone}\"\ncallers_listen: \"{callers}\"\n\
             ready_listen: \"{ready}\"\ndirectory_listen: \"{directory}\"\n\
             peer_listen: \"{peers}\"\nrelay_listen: \"{relay}\"\nstore: \"{store}\"\n\
             seeds: [{}]\ncpu_share: 0.25\naddress_keep_ms: 5000\ngrace_ms: 6000\n\
             retry_budget:\n  ratio: 0.2\n  fixed: 54\n  window_ms: 10000\n\
             warmup:\n  factor: 1.5\n  slack: 5\n",
            seeds.join(",")
        );
        let path: PathBuf = dir.join(format!("{name}.yaml"));
        fs::write(&path, settings).unwrap();
        let log = File::create(dir.join(format!("{name}.log"))).unwrap();
        let child = Command::new("target/release/sassafrasproxy")
            .arg("gateway")
            .env("SASSAFRASPROXY_CONFIG", &path)
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Self { child, callers, ready, directory, peers }
    }

    /// Waits until the readiness check answers 200.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            if get(self.ready, "/ready").is_some_and(|answer| answer.path == "200") {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        Command::new("sh").args(["-c", &format!("kill -{name} {pid}")]).status().unwrap();
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the answer to a `GET`; the status is in `path`.
pub fn get(address: SocketAddr, path: &str) -> Option<http::Message> {
    use std::io::{BufReader, Write};
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: h\r\n\r\n");
    stream.write_all(request.as_bytes()).ok()?;
    http::read(&mut BufReader::new(stream)).ok()?
}

fn free_addresses<const N: usize>() -> [SocketAddr; N] {
    let listeners: Vec<TcpListener> =
        (0..N).map(|_| TcpListener::bind("127.0.0.1:0").unwrap()).collect();
    let addresses: Vec<SocketAddr> =
        listeners.iter().map(|listener| listener.local_addr().unwrap()).collect();
    addresses.try_into().unwrap()
}
