//! Messages between hosts that belong to one part of the gateway.
//!
//! A part defines its messages and registers a handler for each, so that [`super::peers`] need not
//! know them. A host that does not know a message counts it and goes on.

use std::{cell::RefCell, collections::HashMap, fmt, net::SocketAddr, rc::Rc};

use fuchsiaknot_core::id;
use serde::{Serialize, de::DeserializeOwned};

use crate::{
    cluster::peers::{self, Packet},
    context::Context,
};

/// Number of a message on the wire; a changed message gets a new one.
pub type Kind = u16;

/// A message between hosts.
pub trait Message: Serialize + DeserializeOwned {
    /// Number of the message on the wire.
    const KIND: Kind;
}

type Handler = Rc<dyn Fn(&Rc<Context>, id::Host, &[u8]) -> postcard::Result<()>>;

/// Handlers by the kind of message.
#[derive(Default)]
pub struct Handlers(RefCell<HashMap<Kind, Handler>>);

impl fmt::Debug for Handlers {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(self.0.borrow().keys()).finish()
    }
}

impl Handlers {
    /// Calls `handle` with each message of its kind and the name of its sender.
    pub fn register<M: Message>(&self, handle: impl Fn(&Rc<Context>, id::Host, M) + 'static) {
        let handler = move |context: &Rc<Context>, sender, bytes: &[u8]| {
            handle(context, sender, postcard::from_bytes(bytes)?);
            Ok(())
        };
        self.0.borrow_mut().insert(M::KIND, Rc::new(handler));
    }
}

/// Sends a message to a host that is up; returns whether it was sent.
pub fn send<M: Message>(context: &Context, host: &id::Host, message: &M) -> bool {
    packet(context, message).is_some_and(|it| peers::send(context, host, &it))
}

/// Sends a message to every other host that is up.
pub fn send_to_all<M: Message>(context: &Context, message: &M) {
    if let Some(packet) = packet(context, message) {
        peers::send_to_all(context, &packet);
    }
}

/// Sends a message to each address.
pub fn send_to<M: Message>(context: &Context, addresses: &[SocketAddr], message: &M) {
    if let Some(packet) = packet(context, message) {
        peers::send_to(context, addresses, &packet);
    }
}

fn packet<M: Message>(context: &Context, message: &M) -> Option<Packet> {
    match postcard::to_stdvec(message) {
        Ok(bytes) => Some(Packet::Message(M::KIND, context.settings.host.name.clone(), bytes)),
        Err(err) => {
            tracing::error!(code = 8064, kind = M::KIND, %err, "cannot encode a message to other hosts");
            None
        }
    }
}

/// Passes a received message to its handler.
pub(crate) fn handle(context: &Rc<Context>, kind: Kind, sender: id::Host, bytes: &[u8]) {
    let handler = context.handlers.0.borrow().get(&kind).cloned();
    let outcome = match handler.map(|it| it(context, sender.clone(), bytes)) {
        Some(Ok(())) => return,
        Some(Err(err)) => err.to_string(),
        None => "unknown kind".to_owned(),
    };
    record_unreadable(context, &outcome);
    tracing::debug!(kind, host = %sender, outcome, "cannot read a message from another host");
}

/// Counts a datagram that this host cannot read, and logs the first one.
pub(crate) fn record_unreadable(context: &Context, fault: &str) {
    let count = &context.metrics.unreadable_messages;
    if count.get() == 0 {
        tracing::warn!(
            code = 8065,
            fault,
            "cannot read a message from another host; hosts may run different builds"
        );
    }
    count.inc();
}
