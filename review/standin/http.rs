//! As much of HTTP/1.1 as the stand-ins need.

use std::io::{self, BufRead, BufReader, Write};
use std::net::TcpStream;

/// A request, or an answer with its status in `path`.
#[derive(Debug, Default)]
pub struct Message {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns a header by its lower-case name, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value.as_str())
    }
}

/// Reads one message with a `Content-Length`, or without a body; `None` at the end of the stream.
pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut words = line.split_whitespace().map(String::from);
    let mut message = Message {
        method: words.next().unwrap_or_default(),
        path: words.next().unwrap_or_default(),
        ..Message::default()
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.split_once(':') else { break };
        message.headers.push((name.to_ascii_lowercase(), value.trim().into()));
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Answers the requests of a connection until it ends or an answer is `None`.
pub fn serve(stream: TcpStream, mut answer: impl FnMut(&Message) -> Option<Vec<u8>>) {
    let _ = stream.set_nodelay(true);
    let Ok(clone) = stream.try_clone() else { return };
    let (mut reader, mut writer) = (BufReader::new(clone), stream);
    while let Ok(Some(request)) = read(&mut reader) {
        let Some(bytes) = answer(&request) else { return };
        if writer.write_all(&bytes).is_err() {
            return;
        }
    }
}

pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    [text.as_bytes(), body].concat()
}
