//! The memory for bodies.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use flaxward_client_limits::{BodyError, BodyPool, ClientActivity, ReserveError, read_body};
use http_body::Frame;
use http_body_util::{BodyExt, Full, StreamBody};
use proptest::prelude::*;
use tokio::time::{Instant, advance};

const CAPACITY: usize = 4 << 20;
const MAX_BYTES: usize = 1 << 20;

fn client(since: Instant) -> Arc<ClientActivity> {
    Arc::new(ClientActivity::new(since))
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_mins(1)
}

// Guards against: clients that stop short keep the memory until their deadlines, and others are refused.
#[tokio::test(start_paused = true)]
async fn a_stalled_client_makes_room_for_another() {
    let pool = BodyPool::new(CAPACITY);
    let first = client(Instant::now());
    let mut large = pool.open(first.clone());
    large.raise(CAPACITY * 3 / 4).await.unwrap();
    let second = client(Instant::now());
    let mut small = pool.open(second.clone());
    small.raise(1_000).await.unwrap();
    advance(Duration::from_secs(1)).await;
    let holding = tokio::spawn(async move {
        first.given_up().await;
        drop(large);
    });
    let mut newcomer = pool.open(client(Instant::now()));
    newcomer.raise(CAPACITY / 2).await.unwrap();
    holding.await.unwrap();
    assert!(!second.is_given_up(), "the one with few bytes is kept");
}

// Guards against: under a crowd of large bodies, those that are still coming are cut off by newcomers, and none comes whole.
#[tokio::test(start_paused = true)]
async fn a_client_that_has_not_stalled_is_kept_and_the_newcomer_is_refused() {
    let pool = BodyPool::new(CAPACITY);
    let first = client(Instant::now());
    let mut large = pool.open(first.clone());
    large.raise(CAPACITY * 3 / 4).await.unwrap();
    let mut newcomer = pool.open(client(Instant::now()));
    let refused = newcomer.raise(CAPACITY / 2).await;
    assert_eq!(refused, Err(ReserveError::Exhausted));
    assert!(!first.is_given_up());
}

// Guards against: a few long bodies take all of the memory, and ordinary requests are refused.
#[tokio::test(start_paused = true)]
async fn long_bodies_leave_a_part_to_ordinary_ones() {
    let pool = BodyPool::new(CAPACITY);
    let mut large = pool.open(client(Instant::now()));
    assert_eq!(large.raise(CAPACITY).await, Err(ReserveError::Exhausted));
    large.raise(CAPACITY * 3 / 4).await.unwrap();
    large.seal(CAPACITY * 3 / 4);
    let mut ordinary = pool.open(client(Instant::now()));
    ordinary.raise(256 * 1_024).await.unwrap();
}

// Guards against: complete bodies, whose clients wait for the daemon, are given up.
#[tokio::test(start_paused = true)]
async fn complete_bodies_are_kept() {
    let pool = BodyPool::new(CAPACITY);
    let activity = client(Instant::now());
    let mut large = pool.open(activity.clone());
    large.raise(CAPACITY * 3 / 4).await.unwrap();
    large.seal(CAPACITY * 3 / 4);
    advance(Duration::from_hours(1)).await;
    let mut newcomer = pool.open(client(Instant::now()));
    assert_eq!(
        newcomer.raise(CAPACITY / 2).await,
        Err(ReserveError::Exhausted)
    );
    assert!(!activity.is_given_up());
}

/// Reads a body of so many bytes, of which one comes in each second.
async fn read_slowly(pool: &BodyPool, bytes: usize) -> Result<Bytes, BodyError> {
    let frames = one_byte_frames(bytes, Duration::from_secs(1));
    let mut body = Box::pin(StreamBody::new(frames));
    read_body(
        &mut body,
        pool,
        &client(Instant::now()),
        MAX_BYTES,
        deadline(),
    )
    .await
}

// Guards against: a slow body of legal size is cut off though nobody else needs the memory.
#[tokio::test(start_paused = true)]
async fn a_slow_body_is_read_to_its_end_while_there_is_room() {
    let pool = BodyPool::new(CAPACITY);
    assert_eq!(read_slowly(&pool, 40).await.unwrap().len(), 40);
}

// Guards against: a body without end is read for ever.
#[tokio::test(start_paused = true)]
async fn a_body_that_is_late_is_refused() {
    let pool = BodyPool::new(CAPACITY);
    assert_eq!(read_slowly(&pool, 100).await, Err(BodyError::TimedOut));
    assert_eq!(pool.reserved(), 0);
}

// Guards against: a body that is announced too long is read before it is refused.
#[tokio::test(start_paused = true)]
async fn a_body_announced_too_long_is_not_read() {
    let pool = BodyPool::new(CAPACITY);
    let mut body = Full::new(Bytes::from(vec![0; MAX_BYTES + 1]));
    let read = read_body(
        &mut body,
        &pool,
        &client(Instant::now()),
        MAX_BYTES,
        deadline(),
    )
    .await;
    assert_eq!(read, Err(BodyError::TooLong));
    assert!(body.frame().await.is_some(), "the body is still there");
}

/// One byte in each interval.
fn one_byte_frames(
    count: usize,
    interval: Duration,
) -> impl futures::Stream<Item = Result<Frame<Bytes>, std::io::Error>> {
    futures::stream::unfold(0, move |sent| async move {
        if sent == count {
            return None;
        }
        tokio::time::sleep(interval).await;
        Some((Ok(Frame::data(Bytes::from_static(b"x"))), sent + 1))
    })
}

fn in_runtime<Output>(future: impl Future<Output = Output>) -> Output {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(future)
}

proptest! {
    /// Guards against: bytes are lost, or the memory reserved differs from that of the bytes that are held.
    #[test]
    fn a_body_is_read_whole_and_its_memory_is_released(pieces in prop::collection::vec(1_usize..5_000, 1..60)) {
        let (read, sent, held, after) = in_runtime(async {
            let pool = BodyPool::new(CAPACITY);
            let sent: Vec<Bytes> = pieces
                .iter()
                .enumerate()
                .map(|(number, bytes)| Bytes::from(vec![u8::try_from(number).unwrap(); *bytes]))
                .collect();
            let frames = sent.clone().into_iter().map(|data| Ok::<_, std::io::Error>(Frame::data(data)));
            let mut body = StreamBody::new(futures::stream::iter(frames));
            let read = read_body(&mut body, &pool, &client(Instant::now()), MAX_BYTES, deadline()).await.unwrap();
            let held = pool.reserved();
            let copy = read.clone();
            drop(read);
            assert_eq!(pool.reserved(), held, "a clone keeps the memory");
            let read = copy.to_vec();
            drop(copy);
            (read, sent.concat(), held, pool.reserved())
        });
        prop_assert_eq!(&read, &sent);
        prop_assert!(held >= sent.len());
        prop_assert_eq!(after, 0);
    }
}
