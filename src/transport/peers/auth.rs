//! The mutual proof of the fleet key that precedes every connection between daemons.
//!
//! The caller proves the key first, so that a stranger gets a nonce and nothing derived from the key.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

use crate::protocol::fleet_key::{FleetKey, Tag};

const MAGIC: [u8; 4] = *b"hyk1";
const NONCE_BYTES: usize = 32;
const CALLER_LABEL: &[u8] = b"hibiscusyoke caller";
const SERVER_LABEL: &[u8] = b"hibiscusyoke server";

type Nonce = [u8; NONCE_BYTES];

/// Proves the key to the server and has the server prove it.
pub(super) async fn prove_as_caller<S>(key: &FleetKey, stream: &mut S) -> io::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let own: Nonce = rand::random();
    let mut hello = [0; MAGIC.len() + NONCE_BYTES];
    hello[..MAGIC.len()].copy_from_slice(&MAGIC);
    hello[MAGIC.len()..].copy_from_slice(&own);
    stream.write_all(&hello).await?;
    let server: Nonce = read_array(stream).await?;
    let tag = key.tag(&[CALLER_LABEL, &own, &server]);
    stream.write_all(&tag).await?;
    let tag: Tag = read_array(stream).await?;
    check(key, &[SERVER_LABEL, &own, &server], &tag)
}

/// Has the caller prove the key, then proves it to the caller.
pub(super) async fn prove_as_server<S>(key: &FleetKey, stream: &mut S) -> io::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let magic: [u8; 4] = read_array(stream).await?;
    if magic != MAGIC {
        return Err(refused("unknown protocol"));
    }
    let caller: Nonce = read_array(stream).await?;
    let own: Nonce = rand::random();
    stream.write_all(&own).await?;
    let tag: Tag = read_array(stream).await?;
    check(key, &[CALLER_LABEL, &caller, &own], &tag)?;
    let tag = key.tag(&[SERVER_LABEL, &caller, &own]);
    stream.write_all(&tag).await
}

fn check(key: &FleetKey, parts: &[&[u8]], tag: &Tag) -> io::Result<()> {
    if !key.verifies(parts, tag) {
        return Err(refused("wrong fleet key"));
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

fn refused(reason: &str) -> io::Error {
    io::Error::new(io::ErrorKind::PermissionDenied, reason)
}
