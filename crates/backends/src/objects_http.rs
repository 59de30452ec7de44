//! HTTP client of the object API, following the conventions of Kubernetes for custom resources.

use async_trait::async_trait;
use flaxward_types::{OperationId, Revision};
use futures::stream::{BoxStream, StreamExt, TryStreamExt};
use reqwest::{Client, Method, RequestBuilder, Url};
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio_util::codec::{FramedRead, LinesCodec};
use tokio_util::io::StreamReader;

use crate::documents::{
    API_VERSION, Document, EventDocument, EventKind, ListDocument, StatusDocument,
};
use crate::http_client::{Answer, CallError, Timeouts, call, call_error, client};
use crate::objects::{
    Collection, Object, ObjectApi, ObjectList, Selection, StoreError, WatchEvent,
};

/// Header with which a daemon identifies itself to the platform, as `ZONE/DAEMON`.
const CLIENT_HEADER: &str = "x-flaxward-client";

/// Maximum length of a watch line in bytes; bounds memory use if the server misbehaves.
const MAX_LINE_BYTES: usize = 16 * 1024 * 1024;

const CREATED: u16 = 201;
const OK: u16 = 200;
const NOT_FOUND: u16 = 404;
const CONFLICT: u16 = 409;
const GONE: u16 = 410;

/// Client of the object API.
#[derive(Clone, Debug)]
pub struct ObjectsHttp {
    client: Client,
    base: Url,
    identity: String,
    limits: Timeouts,
}

impl ObjectsHttp {
    /// Creates a client of the object API at a base URL such as `http://10.0.0.1:6443`, which
    /// identifies itself as `identity` (`ZONE/DAEMON`).
    ///
    /// # Errors
    /// Fails if the URL is invalid or cannot have paths, or the HTTP library cannot be set up.
    pub fn new(base: &str, identity: &str, limits: Timeouts) -> Result<Self, StoreError> {
        let unusable = |text: String| StoreError::Unavailable(format!("{base}: {text}"));
        let url = Url::parse(base).map_err(|error| unusable(error.to_string()))?;
        if url.cannot_be_a_base() {
            return Err(unusable("this URL cannot have paths".to_owned()));
        }
        let client = client(limits).map_err(|error| unusable(error.to_string()))?;
        Ok(Self {
            client,
            base: url,
            identity: identity.to_owned(),
            limits,
        })
    }

    fn url(&self, collection: Collection, name: Option<&str>) -> Url {
        let mut url = self.base.clone();
        if let Ok(mut segments) = url.path_segments_mut() {
            segments
                .pop_if_empty()
                .push("apis")
                .extend(API_VERSION.split('/'))
                .push(collection.plural())
                .extend(name);
        }
        url
    }

    fn request(&self, method: Method, url: Url) -> RequestBuilder {
        self.client
            .request(method, url)
            .header(CLIENT_HEADER, &self.identity)
    }

    async fn read<T: DeserializeOwned>(&self, url: Url) -> Result<T, StoreError> {
        let request = self.request(Method::GET, url);
        let answer = call(request, self.limits).await.map_err(read_error)?;
        match answer.status {
            OK => parse(&answer.body).map_err(StoreError::Unavailable),
            NOT_FOUND => Err(StoreError::NotFound),
            _ => Err(StoreError::Unavailable(answer.text())),
        }
    }

    async fn write(&self, request: RequestBuilder) -> Result<Written, StoreError> {
        let answer = call(request, self.limits).await.map_err(write_error)?;
        match answer.status {
            OK | CREATED => Ok(Written::Done(answer)),
            CONFLICT => Ok(Written::Conflict(status_of(&answer))),
            status => Err(refused_write(status, &answer)),
        }
    }

    /// Reads the object that caused a write to be rejected with a conflict.
    async fn conflicting_object(
        &self,
        collection: Collection,
        name: &str,
    ) -> Result<Object, StoreError> {
        match self.get(collection, name).await {
            Err(StoreError::NotFound) => Err(StoreError::Unavailable(
                "the conflicting object was deleted".to_owned(),
            )),
            result => result,
        }
    }

    async fn put(
        &self,
        request: RequestBuilder,
        collection: Collection,
        name: &str,
    ) -> Result<Object, StoreError> {
        match self.write(request).await? {
            Written::Done(answer) => object_of(&answer.body).map_err(StoreError::OutcomeUnknown),
            Written::Conflict(status) => {
                let current = self.conflicting_object(collection, name).await?;
                Err(conflict(&status, current))
            }
        }
    }
}

/// Outcome of a write: applied, or rejected because of a conflict.
enum Written {
    Done(Answer),
    Conflict(StatusDocument),
}

#[async_trait]
impl ObjectApi for ObjectsHttp {
    async fn get(&self, collection: Collection, name: &str) -> Result<Object, StoreError> {
        let document: Document = self.read(self.url(collection, Some(name))).await?;
        document.into_object().map_err(StoreError::Unavailable)
    }

    async fn list(&self, collection: Collection) -> Result<ObjectList, StoreError> {
        let document: ListDocument = self.read(self.url(collection, None)).await?;
        document.into_list().map_err(StoreError::Unavailable)
    }

    async fn select(
        &self,
        collection: Collection,
        selection: &Selection,
    ) -> Result<Vec<Object>, StoreError> {
        let mut url = self.url(collection, None);
        url.query_pairs_mut()
            .append_pair(
                "fieldSelector",
                &format!("spec.{}={}", selection.field, selection.value),
            )
            .append_pair("limit", &selection.limit.to_string());
        let document: ListDocument = self.read(url).await?;
        let list = document.into_list().map_err(StoreError::Unavailable)?;
        Ok(list.items)
    }

    async fn create(
        &self,
        collection: Collection,
        name: &str,
        operation: OperationId,
        body: Value,
    ) -> Result<Object, StoreError> {
        let document = Document::to_write(collection, name, None, operation, body);
        let url = self.url(collection, None);
        let request = self.request(Method::POST, url).json(&document);
        self.put(request, collection, name).await
    }

    async fn replace(
        &self,
        collection: Collection,
        name: &str,
        expected: Revision,
        operation: OperationId,
        body: Value,
    ) -> Result<Object, StoreError> {
        let document = Document::to_write(collection, name, Some(expected), operation, body);
        let url = self.url(collection, Some(name));
        let request = self.request(Method::PUT, url).json(&document);
        self.put(request, collection, name).await
    }

    async fn delete(
        &self,
        collection: Collection,
        name: &str,
        expected: Revision,
    ) -> Result<(), StoreError> {
        let options = json!({"preconditions": {"resourceVersion": expected.to_string()}});
        let url = self.url(collection, Some(name));
        let request = self.request(Method::DELETE, url).json(&options);
        match self.write(request).await? {
            Written::Done(_) => Ok(()),
            Written::Conflict(status) => {
                let current = self.conflicting_object(collection, name).await?;
                Err(conflict(&status, current))
            }
        }
    }

    async fn watch(
        &self,
        collection: Collection,
        from: Revision,
    ) -> Result<BoxStream<'static, Result<WatchEvent, StoreError>>, StoreError> {
        let mut url = self.url(collection, None);
        url.query_pairs_mut()
            .append_pair("watch", "true")
            .append_pair("allowWatchBookmarks", "true")
            .append_pair("resourceVersion", &from.to_string());
        let opening = self.request(Method::GET, url).send();
        let response = tokio::time::timeout(self.limits.call, opening)
            .await
            .map_err(|_| StoreError::Unavailable("timeout while opening the watch".to_owned()))?
            .map_err(|error| read_error(call_error(&error)))?;
        match response.status().as_u16() {
            OK => Ok(events(response, self.limits)),
            GONE => Err(StoreError::Compacted),
            status => Err(StoreError::Unavailable(format!("status {status}"))),
        }
    }
}

/// Streams the events of an open watch until it ends or fails.
fn events(
    response: reqwest::Response,
    limits: Timeouts,
) -> BoxStream<'static, Result<WatchEvent, StoreError>> {
    let body = response.bytes_stream().map_err(std::io::Error::other);
    let codec = LinesCodec::new_with_max_length(MAX_LINE_BYTES);
    let lines = FramedRead::new(StreamReader::new(body), codec);
    futures::stream::unfold(Some(lines), move |lines| async move {
        let mut lines = lines?;
        let event = match tokio::time::timeout(limits.idle, lines.next()).await {
            Err(_) => Err(StoreError::Unavailable(
                "no data from the watch within the timeout".to_owned(),
            )),
            Ok(None) => return None,
            Ok(Some(Err(error))) => Err(StoreError::Unavailable(error.to_string())),
            Ok(Some(Ok(line))) => event_of(&line),
        };
        let rest = event.is_ok().then_some(lines);
        Some((event, rest))
    })
    .boxed()
}

fn event_of(line: &str) -> Result<WatchEvent, StoreError> {
    let event: EventDocument = parse(line.as_bytes()).map_err(StoreError::Unavailable)?;
    if event.kind == EventKind::Error {
        return Err(watch_error(event.object));
    }
    let document: Document = serde_json::from_value(event.object)
        .map_err(|error| StoreError::Unavailable(error.to_string()))?;
    let event = match event.kind {
        EventKind::Deleted => document.revision().map(|revision| WatchEvent::Deleted {
            name: document.name().to_owned(),
            revision,
        }),
        EventKind::Bookmark => document.revision().map(WatchEvent::Bookmark),
        _ => document.into_object().map(WatchEvent::Put),
    };
    event.map_err(StoreError::Unavailable)
}

fn watch_error(object: Value) -> StoreError {
    let status: StatusDocument = serde_json::from_value(object).unwrap_or_default();
    if status.code == GONE {
        StoreError::Compacted
    } else {
        StoreError::Unavailable(status.message)
    }
}

fn object_of(body: &[u8]) -> Result<Object, String> {
    let document: Document = parse(body)?;
    document.into_object()
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| format!("cannot parse the response: {error}"))
}

fn status_of(answer: &Answer) -> StatusDocument {
    serde_json::from_slice(&answer.body).unwrap_or_default()
}

fn conflict(status: &StatusDocument, current: Object) -> StoreError {
    if status.reason == "AlreadyExists" {
        StoreError::Exists(Box::new(current))
    } else {
        StoreError::Conflict(Box::new(current))
    }
}

fn read_error(error: CallError) -> StoreError {
    match error {
        CallError::NotSent(text) | CallError::Unknown(text) => StoreError::Unavailable(text),
    }
}

fn write_error(error: CallError) -> StoreError {
    match error {
        CallError::NotSent(text) => StoreError::Unavailable(text),
        CallError::Unknown(text) => StoreError::OutcomeUnknown(text),
    }
}

/// Maps a status other than success and conflict to an error. The server rejects a request with 4xx
/// or 503 before it acts, while other statuses, such as 500, 502 and 504, may be sent after
/// the write.
fn refused_write(status: u16, answer: &Answer) -> StoreError {
    match status {
        NOT_FOUND => StoreError::NotFound,
        400..=499 | 503 => StoreError::Unavailable(answer.text()),
        _ => StoreError::OutcomeUnknown(answer.text()),
    }
}
