//! Crowds whose request bodies are large, cut into small pieces, or stop short of their end.

use std::{sync::Arc, time::Duration};

use stand_in::gateway::upstream::Behaviour;

use crate::{
    crowd::{BODY_LIMIT, Script},
    gateway::{CROWD, Deployment},
};

/// How long upstreams take, so that the bodies of a crowd are held at the same time.
const SLOW: Behaviour = Behaviour::SilentFor(1_000);
const LOOK: &str = "POST /look/1";
const ASK: &str = "POST /ask/easy";
const BOOK: &str = "POST /book/1";

/// Length of a body as a header announces it.
const ANNOUNCED: u64 = BODY_LIMIT as u64;
/// Number of clients that send bodies in small chunks.
const SMALL_CHUNK_CROWD: usize = 48;
/// Content of a body in small chunks, which take long to read.
const SMALL_CHUNK_CONTENT: usize = 3 << 19;
/// Number of clients with small bodies; the bodies alone exceed the instance's memory.
const SMALL_BODY_CROWD: usize = 1_800;
/// Size of a small body.
const SMALL_BODY_BYTES: usize = 40 << 10;

/// Bodies counted each alone, and a crowd of them filled the instance's memory.
#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_if_bodies_with_length_stop_short() {
    let deployment = Deployment::spawn().await;
    let script = Script::with_length(LOOK, ANNOUNCED, BODY_LIMIT - 1);
    deployment.assert_bears(CROWD, &script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_if_bodies_in_pieces_stop_short() {
    let deployment = Deployment::spawn().await;
    let script = Script {
        part_bytes: 4 << 10,
        ..Script::with_length(BOOK, ANNOUNCED, BODY_LIMIT - 1)
    };
    deployment.assert_bears(CROWD, &script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_if_bodies_for_an_engine_stop_short() {
    let deployment = Deployment::spawn().await;
    let script = Script::with_length(ASK, ANNOUNCED, BODY_LIMIT - 1);
    deployment.assert_bears(CROWD, &script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_if_bodies_that_wait_for_a_continuation_stop_short() {
    let deployment = Deployment::spawn().await;
    let script =
        Script::with_length(LOOK, ANNOUNCED, BODY_LIMIT - 1).header("expect: 100-continue");
    deployment.assert_bears(CROWD, &script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_if_bodies_in_large_chunks_stop_short() {
    let deployment = Deployment::spawn().await;
    let script = Script::chunked(LOOK, BODY_LIMIT - 1, &[64 << 10]);
    deployment.assert_bears(CROWD, &script).await;
}

/// Chunks of some bytes each held several times their content.
#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_if_bodies_in_small_chunks_stop_short() {
    let deployment = Deployment::spawn().await;
    let script = Script::chunked(LOOK, SMALL_CHUNK_CONTENT, &[1, 8, 3, 1_024]);
    deployment.assert_bears(SMALL_CHUNK_CROWD, &script).await;
}

/// A body was held a second time while it was completed.
#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_if_many_large_bodies_are_complete() {
    let deployment = Deployment::spawn().await;
    deployment.harness.set_plain_upstreams(SLOW);
    let script = Script::with_length(LOOK, ANNOUNCED, BODY_LIMIT);
    deployment.assert_bears(CROWD, &script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_if_large_bodies_are_followed_by_unread_requests() {
    let deployment = Deployment::spawn().await;
    let pipelined = vec![b'y'; 64 << 10];
    let script =
        Script::with_length(LOOK, ANNOUNCED, BODY_LIMIT).then_endless(&pipelined, BODY_LIMIT);
    deployment.assert_bears(CROWD, &script).await;
}

/// The timeout was one for each frame, so that such a body had no end.
#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_if_bodies_go_on_byte_by_byte() {
    let deployment = Deployment::spawn().await;
    let script = Script {
        pause: Duration::from_millis(500),
        ..Script::with_length(LOOK, ANNOUNCED, 3 << 20).then_endless(b"x", BODY_LIMIT)
    };
    deployment.assert_bears(CROWD, &script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_if_trailers_do_not_end() {
    let deployment = Deployment::spawn().await;
    let mut script = Script::chunked(LOOK, 3 << 20, &[64 << 10]);
    Arc::make_mut(&mut script.body).extend_from_slice(b"0\r\n");
    let script = script.then_endless(b"x-trailer: 1\r\n", BODY_LIMIT);
    deployment.assert_bears(CROWD, &script).await;
}

/// What a connection holds beside its body was not bounded, nor the number of connections by memory.
#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_if_many_small_bodies_stop_short() {
    let deployment = Deployment::spawn().await;
    let script = Script::with_length(LOOK, ANNOUNCED, SMALL_BODY_BYTES);
    deployment.assert_bears(SMALL_BODY_CROWD, &script).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn memory_is_bounded_if_bodies_are_delegated() {
    let deployment = Deployment::spawn_with(2, 1, |_| {}).await;
    deployment.harness.cut_off(0);
    deployment.harness.set_plain_upstreams(SLOW);
    let script = Script::with_length(LOOK, ANNOUNCED, BODY_LIMIT);
    deployment.assert_bears(CROWD, &script).await;
}
