//! Handshake in which both peers prove that they know the shared key.
//!
//! The connecting side sends a magic number and a nonce. The accepting side answers with its own
//! nonce and a keyed hash over both nonces. The connecting side then sends its own keyed hash. The
//! sender's role is part of the hash, so a proof cannot be reflected back to the side that made it.

use std::io;

use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Magic number that opens the handshake; it names the version of the protocol.
const MAGIC: &[u8; 8] = b"fkpeer-1";
/// Context string of the key derivation.
const KEY_CONTEXT: &str = "fuchsiaknot 2026 peers' shared key";
const NONCE_BYTES: usize = 32;
const HASH_BYTES: usize = 32;

type Nonce = [u8; NONCE_BYTES];

/// Key derived from the shared secret of the entry hosts.
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

/// Side of the connection that makes a proof.
#[derive(Debug, Clone, Copy)]
enum Role {
    Connecting,
    Accepting,
}

impl Key {
    /// Returns the keyed hash over a role and the nonces of the connecting and the accepting side.
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

/// Runs the handshake on a connection that this side opened.
///
/// # Errors
/// Fails when the connection fails or the peer's proof is wrong.
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

/// Runs the handshake on a connection that this side accepted.
///
/// # Errors
/// Fails when the connection fails or the peer's proof is wrong.
pub async fn accept<S>(stream: &mut S, key: &Key) -> io::Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let magic: [u8; MAGIC.len()] = read(stream).await?;
    if &magic != MAGIC {
        return Err(io::Error::new(
            io::ErrorKind::InvalidData,
            "the peer does not use this version of the peer protocol",
        ));
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

/// Checks a proof; `blake3::Hash` compares in constant time.
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
