//! The little of HTTP/1.1 that the stand-ins need.

/// A request or an answer whose head has arrived.
#[derive(Clone, Debug)]
pub struct Message {
    pub first_line: String,
    /// Names are in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    pub fn has(&self, name: &str) -> bool {
        self.header(name).is_some()
    }

    /// The status of an answer, 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Takes the next complete message from the front of `buffer`. Bodies need a `Content-Length`.
pub fn take_message(buffer: &mut Vec<u8>) -> Option<Message> {
    let head_end = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&buffer[..head_end]).into_owned();
    let mut lines = head.split("\r\n");
    let first_line = lines.next().unwrap_or_default().to_owned();
    let mut headers = Vec::new();
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    let mut message = Message { first_line, headers, body: Vec::new() };
    let body_bytes: usize =
        message.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let end = head_end + 4 + body_bytes;
    if buffer.len() < end {
        return None;
    }
    message.body = buffer[head_end + 4..end].to_vec();
    buffer.drain(..end);
    Some(message)
}

/// Encodes an answer.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} Status\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
