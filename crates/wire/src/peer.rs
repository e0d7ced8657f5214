//! Encoding and decoding of messages between routers, on top of the schema's generated code.

use std::sync::Arc;

use base::{Author, ChangeId, ParseError, Revision, UnixMillis};

use crate::{BodyError, peer_capnp::configuration};

/// A configuration, as routers send it to each other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Configuration {
    /// Its revision.
    pub revision: Revision,
    /// The declaration, as TOML.
    pub declaration: Arc<str>,
    /// The author of the change.
    pub author: Author,
    /// The reason for the change.
    pub reason: Arc<str>,
    /// The change's id.
    pub change: ChangeId,
    /// The time of the change.
    pub at: UnixMillis,
}

impl Configuration {
    /// Writes the configuration into a message.
    pub fn write(&self, mut to: configuration::Builder<'_>) {
        to.set_revision(self.revision.as_u64());
        to.set_declaration(&*self.declaration);
        to.set_author(self.author.as_str());
        to.set_reason(&*self.reason);
        to.set_change_id(self.change.as_str());
        to.set_at_unix_millis(self.at.as_u64());
    }

    /// Encodes the configuration for a file.
    pub fn to_bytes(&self) -> Vec<u8> {
        let mut message = capnp::message::Builder::new_default();
        self.write(message.init_root());
        capnp::serialize::write_message_to_words(&message)
    }

    /// Decodes a configuration from a file's bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are malformed.
    pub fn from_bytes(mut bytes: &[u8]) -> Result<Self, capnp::Error> {
        let limits = capnp::message::ReaderOptions::new();
        let message = capnp::serialize::read_message_from_flat_slice(&mut bytes, limits)?;
        Self::read(message.get_root()?)
    }

    /// Reads a configuration from a message.
    ///
    /// # Errors
    ///
    /// Returns an error if the message is malformed.
    pub fn read(from: configuration::Reader<'_>) -> Result<Self, capnp::Error> {
        Ok(Self {
            revision: Revision::new(from.get_revision()),
            declaration: from.get_declaration()?.to_str()?.into(),
            author: from.get_author()?.to_str()?.parse().map_err(malformed)?,
            reason: from.get_reason()?.to_str()?.into(),
            change: from.get_change_id()?.to_str()?.parse().map_err(malformed)?,
            at: UnixMillis::new(from.get_at_unix_millis()),
        })
    }
}

fn malformed(e: ParseError) -> capnp::Error {
    capnp::Error::failed(e.to_string())
}

/// Encodes a quorum message.
pub fn quorum_to_bytes(message: &quorum::Message) -> Vec<u8> {
    crate::leader::to_bytes(message)
}

/// Decodes a quorum message.
///
/// # Errors
///
/// Returns an error if the bytes are malformed.
pub fn quorum_from_bytes(bytes: &[u8]) -> Result<quorum::Message, BodyError> {
    crate::leader::from_bytes(bytes)
}

/// Encodes a gossip message.
pub fn gossip_to_bytes(message: &member::Gossip) -> Vec<u8> {
    crate::leader::to_bytes(message)
}

/// Decodes a gossip message.
///
/// # Errors
///
/// Returns an error if the bytes are malformed.
pub fn gossip_from_bytes(bytes: &[u8]) -> Result<member::Gossip, BodyError> {
    crate::leader::from_bytes(bytes)
}
