//! Mutual proof of the peers' shared key when a connection opens.
//!
//! The connecting side sends a magic number and a nonce; the accepting side answers with its own
//! nonce and a keyed hash over both; the connecting side closes with a hash of its own. The roles
//! are part of the hash, so neither side's proof can be sent back to it.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

const MAGIC: &[u8; 8] = b"fkpeer-1";
const KEY_CONTEXT: &str = "fuchsiaknot 2026 peers' shared key";
const NONCE_BYTES: usize = 32;
const HASH_BYTES: usize = 32;

type Nonce = [u8; NONCE_BYTES];

/// Key derived from the peers' shared secret.
#[derive(Clone)]
pub struct Key([u8; 32]);

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Key").finish_non_exhaustive()
    }
}

impl From<&str> for Key {
    fn from(secret: &str) -> Key {
        Key(blake3::derive_key(KEY_CONTEXT, secret.as_bytes()))
    }
}

#[derive(Debug, Clone, Copy)]
enum Role {
    Connecting,
    Accepting,
}

impl Key {
    fn proof(&self, role: Role, connecting: &Nonce, accepting: &Nonce) -> blake3::Hash {
        let role = match role {
            Role::Connecting => 0,
            Role::Accepting => 1,
        };
        let mut hasher = blake3::Hasher::new_keyed(&self.0);
        hasher.update(&[role]).update(connecting).update(accepting);
        hasher.finalize()
    }
}

/// Proves the key on a connection that this side opened.
///
/// # Errors
/// Fails when the connection fails or the other side does not prove the key.
pub async fn connect<S>(stream: &mut S, key: &Key) -> io::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let own_nonce: Nonce = rand::random();
    stream.write_all(MAGIC).await?;
    stream.write_all(&own_nonce).await?;
    stream.flush().await?;
    let peer_nonce: Nonce = read(stream).await?;
    let proof: [u8; HASH_BYTES] = read(stream).await?;
    verify(proof, &key.proof(Role::Accepting, &own_nonce, &peer_nonce))?;
    let proof = key.proof(Role::Connecting, &own_nonce, &peer_nonce);
    stream.write_all(proof.as_bytes()).await?;
    stream.flush().await
}

/// Proves the key on a connection that this side accepted.
///
/// # Errors
/// Fails when the connection fails or the other side does not prove the key.
pub async fn accept<S>(stream: &mut S, key: &Key) -> io::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let magic: [u8; MAGIC.len()] = read(stream).await?;
    if &magic != MAGIC {
        return Err(io::Error::new(io::ErrorKind::InvalidData, "not a peer of this version"));
    }
    let peer_nonce: Nonce = read(stream).await?;
    let own_nonce: Nonce = rand::random();
    let proof = key.proof(Role::Accepting, &peer_nonce, &own_nonce);
    stream.write_all(&own_nonce).await?;
    stream.write_all(proof.as_bytes()).await?;
    stream.flush().await?;
    let proof: [u8; HASH_BYTES] = read(stream).await?;
    verify(proof, &key.proof(Role::Connecting, &peer_nonce, &own_nonce))
}

async fn read<S: AsyncRead + Unpin, const N: usize>(stream: &mut S) -> io::Result<[u8; N]> {
    let mut bytes = [0; N];
    stream.read_exact(&mut bytes).await?;
    Ok(bytes)
}

/// Compares in constant time, as `blake3::Hash` does.
fn verify(proof: [u8; HASH_BYTES], expected: &blake3::Hash) -> io::Result<()> {
    match blake3::Hash::from_bytes(proof) == *expected {
        true => Ok(()),
        false => {
            let message =
                "the peer does not know the shared key; compare `peers.key` on both hosts";
            Err(io::Error::new(io::ErrorKind::PermissionDenied, message))
        }
    }
}
