//! Clients: each try is a request of its own on a new connection.

use std::io::ErrorKind;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::call;
use crate::record::Record;

pub const HOST: &str = "callers.example";

/// One try of a stream.
#[derive(Clone, Debug)]
pub struct StreamTry<'a> {
    pub id: &'a str,
    pub path: &'a str,
    pub model: &'a str,
    pub prompt: &'a str,
    pub events: u64,
    pub deadline_ms: u64,
    /// The last event that the client has, and the try that brought its first one.
    pub resumes: Option<(u64, &'a str)>,
}

/// How a try of a stream ended.
#[derive(Clone, Debug, Default)]
pub struct StreamEnd {
    pub status: u16,
    pub events: Vec<u64>,
    pub is_complete: bool,
    pub is_silent: bool,
}

impl StreamEnd {
    pub fn has_begun(&self) -> bool {
        self.status == 200 && !self.events.is_empty()
    }
}

fn header(name: &str, value: impl ToString) -> (String, String) {
    (name.to_owned(), value.to_string())
}

/// Runs a try of a stream to its end. `opened` is told its connection.
pub fn stream(
    record: &Record,
    to: SocketAddr,
    wanted: &StreamTry<'_>,
    opened: impl FnOnce(&TcpStream),
) -> StreamEnd {
    let id = wanted.id;
    let mut headers = vec![
        header("Host", HOST),
        header("X-Flaxward-Request-Id", id),
        header("X-Flaxward-Deadline-Ms", wanted.deadline_ms),
        header("X-Flaxward-Model", wanted.model),
        header(
            "X-Flaxward-Token-Counts",
            format!("600,{}", wanted.events * 2),
        ),
        header("X-Flaxward-Prompt-Prefix", wanted.prompt),
    ];
    if let Some((last, first_try)) = wanted.resumes {
        headers.push(header("Last-Event-Id", last));
        headers.push(header("Resumes", first_try));
    }
    let resumes = wanted.resumes.map_or(String::new(), |(last, first)| {
        format!(" after {last} of {first}")
    });
    record.note(format!(
        "client sends {id} to {to} prompt {}{resumes}",
        wanted.prompt
    ));
    let mut end = StreamEnd::default();
    let patience = Duration::from_millis(wanted.deadline_ms);
    // No two requests are alike, but for a client's own tries of one.
    let own = wanted.resumes.map_or(id, |(_, first_try)| first_try);
    let body = format!("{{\"prompt\":\"the text of {own}\"}}");
    let answered = call(
        to,
        "POST",
        wanted.path,
        &headers,
        body.as_bytes(),
        patience,
        opened,
    );
    match answered {
        Err(error) => {
            end.is_silent = matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
        }
        Ok(mut response) => {
            end.status = response.status;
            let mut text = Vec::new();
            loop {
                match response.next() {
                    Ok(Some(bytes)) => text.extend(bytes),
                    Ok(None) => {
                        end.is_complete = true;
                        break;
                    }
                    Err(error) => {
                        end.is_silent =
                            matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
                        break;
                    }
                }
            }
            if end.status == 200 {
                let text = String::from_utf8_lossy(&text);
                let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
                end.events = ids.filter_map(|id| id.parse().ok()).collect();
            }
        }
    }
    let (first, last) = (end.events.first(), end.events.last());
    record.note(format!(
        "client {id}: status {} events {}..{} {}",
        end.status,
        first.copied().unwrap_or(0),
        last.copied().unwrap_or(0),
        if end.is_complete {
            "complete"
        } else {
            "broken off"
        }
    ));
    end
}
