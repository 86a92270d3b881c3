//! The mutual proof of the fleet key that precedes every connection between daemons.
//!
//! The caller proves the key first, so that a stranger gets a nonce and nothing derived from the key.

use std::io;

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

const MAGIC: [u8; 4] = *b"hyk1";
const NONCE_BYTES: usize = 32;
const TAG_BYTES: usize = 32;
const CALLER_LABEL: &[u8] = b"hibiscusyoke caller";
const SERVER_LABEL: &[u8] = b"hibiscusyoke server";

type Nonce = [u8; NONCE_BYTES];
type Tag = [u8; TAG_BYTES];

/// The key that all daemons of a fleet share.
#[derive(Clone)]
pub struct FleetKey(Hmac<Sha256>);

impl std::fmt::Debug for FleetKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("FleetKey(..)")
    }
}

impl FleetKey {
    /// The key with this text, as the settings have it.
    pub fn new(text: &str) -> Self {
        let mac = Hmac::new_from_slice(text.as_bytes()).expect("HMAC takes keys of any length");
        Self(mac)
    }

    /// A message authentication code over the parts.
    pub fn mac(&self, parts: &[&[u8]]) -> Hmac<Sha256> {
        let mut mac = self.0.clone();
        for part in parts {
            mac.update(part);
        }
        mac
    }

    fn tag(&self, label: &[u8], caller: &Nonce, server: &Nonce) -> Tag {
        let mac = self.mac(&[label, caller, server]);
        mac.finalize().into_bytes().into()
    }

    fn check(&self, label: &[u8], caller: &Nonce, server: &Nonce, tag: &Tag) -> io::Result<()> {
        let mac = self.mac(&[label, caller, server]);
        mac.verify_slice(tag)
            .map_err(|_| refused("wrong fleet key"))
    }
}

/// Proves the key to the server and has the server prove it.
pub async fn prove_as_caller<S>(key: &FleetKey, stream: &mut S) -> io::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let own: Nonce = rand::random();
    let mut hello = [0; MAGIC.len() + NONCE_BYTES];
    hello[..MAGIC.len()].copy_from_slice(&MAGIC);
    hello[MAGIC.len()..].copy_from_slice(&own);
    stream.write_all(&hello).await?;
    let server: Nonce = read_array(stream).await?;
    let tag = key.tag(CALLER_LABEL, &own, &server);
    stream.write_all(&tag).await?;
    let tag: Tag = read_array(stream).await?;
    key.check(SERVER_LABEL, &own, &server, &tag)
}

/// Has the caller prove the key, then proves it to the caller.
pub async fn prove_as_server<S>(key: &FleetKey, stream: &mut S) -> io::Result<()>
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
    key.check(CALLER_LABEL, &caller, &own, &tag)?;
    let tag = key.tag(SERVER_LABEL, &caller, &own);
    stream.write_all(&tag).await
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
