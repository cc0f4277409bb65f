//! A server with canned responses, and a runner for the client binary.

#![allow(dead_code, reason = "each test binary uses only some of the items")]

use std::io::{Read as _, Write as _};
use std::net;
use std::process;
use std::sync;
use std::thread;

/// What the server does with a request.
pub enum Reply {
    Json(u16, String),
    Close,
    Silent,
}

/// A received request; the head is in lower case.
pub struct Request {
    pub path: String,
    pub head: String,
    pub body: String,
}

type Handler = dyn Fn(&Request) -> Reply + Send + Sync;

/// Starts a server that runs until the test ends and answers one request per connection.
pub fn serve(handler: impl Fn(&Request) -> Reply + Send + Sync + 'static) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let handler: sync::Arc<Handler> = sync::Arc::new(handler);
    thread::spawn(move || {
        for connection in listener.incoming() {
            let handler = sync::Arc::clone(&handler);
            thread::spawn(move || respond(connection.unwrap(), &*handler));
        }
    });
    address
}

/// An address without a listener: port 1 is outside the range of ephemeral ports.
pub fn unused_address() -> net::SocketAddr {
    net::SocketAddr::from(([127, 0, 0, 2], 1))
}

fn respond(mut connection: net::TcpStream, handler: &Handler) {
    let Some(request) = read_request(&mut connection) else { return };
    match handler(&request) {
        Reply::Json(status, body) => {
            let length = body.len();
            let head = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n"
            );
            let _ = connection.write_all((head + &body).as_bytes());
        }
        Reply::Close => {}
        Reply::Silent => {
            // Blocks until the client closes the connection.
            let _ = connection.read(&mut [0]);
        }
    }
}

fn read_request(connection: &mut net::TcpStream) -> Option<Request> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let head = head.to_lowercase();
            let length = head.split("content-length: ").nth(1);
            let length = length.map_or(0, |rest| rest.lines().next().unwrap().parse().unwrap());
            if body.len() >= length {
                let path = text.split(' ').nth(1)?.to_owned();
                return Some(Request { path, head, body: body.to_owned() });
            }
        }
        let count = connection.read(&mut buffer).ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
}

/// Runs the client; returns its exit code and output, with server addresses replaced by
/// `SERVER1`, `SERVER2` and so on.
pub fn run_client(servers: &[net::SocketAddr], token: Option<&str>, args: &[&str]) -> String {
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_tarragondoor"));
    command.args(args).env_remove("TARRAGONDOOR_SERVER").env_remove("TARRAGONDOOR_TOKEN");
    if !servers.is_empty() {
        let servers: Vec<String> = servers.iter().map(ToString::to_string).collect();
        command.env("TARRAGONDOOR_SERVER", servers.join(","));
    }
    if let Some(token) = token {
        command.env("TARRAGONDOOR_TOKEN", token);
    }
    let output = command.output().unwrap();
    let (stdout, stderr) = (output.stdout, output.stderr);
    let mut text = format!("exit {}\n", output.status.code().unwrap());
    text.push_str(&String::from_utf8(stdout).unwrap());
    for line in String::from_utf8(stderr).unwrap().lines() {
        text.push_str(&format!("stderr: {line}\n"));
    }
    for (index, server) in servers.iter().enumerate() {
        text = text.replace(&server.to_string(), &format!("SERVER{}", index + 1));
    }
    text
}
