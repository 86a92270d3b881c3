//! Mutual authentication with the fleet key at the start of every connection between daemons.
//!
//! The client proves the key first, so that a client without it only receives a nonce and nothing
//! derived from the key.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::protocol::fleet_key::{FleetKey, Tag};

const MAGIC: [u8; 4] = *b"hyk1";
const NONCE_BYTES: usize = 32;
const CALLER_LABEL: &[u8] = b"hibiscusyoke caller";
const SERVER_LABEL: &[u8] = b"hibiscusyoke server";

type Nonce = [u8; NONCE_BYTES];

/// Proves possession of the key to the server and verifies the server's proof.
pub(super) async fn authenticate_as_client<S>(key: &FleetKey, stream: &mut S) -> io::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let own_nonce: Nonce = rand::random();
    let mut hello = [0; MAGIC.len() + NONCE_BYTES];
    hello[..MAGIC.len()].copy_from_slice(&MAGIC);
    hello[MAGIC.len()..].copy_from_slice(&own_nonce);
    stream.write_all(&hello).await?;
    let server_nonce: Nonce = read_array(stream).await?;
    let tag = key.tag(&[CALLER_LABEL, &own_nonce, &server_nonce]);
    stream.write_all(&tag).await?;
    let tag: Tag = read_array(stream).await?;
    verify_tag(key, &[SERVER_LABEL, &own_nonce, &server_nonce], &tag)
}

/// Verifies the client's proof of the key, then proves possession of the key to the client.
pub(super) async fn authenticate_as_server<S>(key: &FleetKey, stream: &mut S) -> io::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let magic: [u8; 4] = read_array(stream).await?;
    if magic != MAGIC {
        return Err(permission_denied("unknown protocol"));
    }
    let caller_nonce: Nonce = read_array(stream).await?;
    let own_nonce: Nonce = rand::random();
    stream.write_all(&own_nonce).await?;
    let tag: Tag = read_array(stream).await?;
    verify_tag(key, &[CALLER_LABEL, &caller_nonce, &own_nonce], &tag)?;
    let tag = key.tag(&[SERVER_LABEL, &caller_nonce, &own_nonce]);
    stream.write_all(&tag).await
}

fn verify_tag(key: &FleetKey, parts: &[&[u8]], tag: &Tag) -> io::Result<()> {
    if !key.verifies(parts, tag) {
        return Err(permission_denied("wrong fleet key"));
    }
    Ok(())
}

async fn read_array<const N: usize, S>(stream: &mut S) -> io::Result<[u8; N]>
where
    S: AsyncRead + Unpin,
{
    let mut buf = [0; N];
    stream.read_exact(&mut buf).await?;
    Ok(buf)
}

fn permission_denied(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::PermissionDenied, reason)
}
