//! Numbered log events; `docs/events.md` documents each of them.

/// Declares the events, each with its number and log level.
macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = ($code:literal, $level:ident);)*) => {
        /// A kind of log event.
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum Event {
            $($(#[$doc])* $name,)*
        }

        impl Event {
            /// Every event, in the order of declaration.
            pub const ALL: &'static [Event] = &[$(Event::$name,)*];

            /// Returns the number, as in `FK-1001`.
            pub fn number(self) -> u16 {
                match self { $(Event::$name => $code,)* }
            }

            /// Returns the level at which the event is logged.
            pub fn level(self) -> log::Level {
                match self { $(Event::$name => log::Level::$level,)* }
            }
        }
    };
}

// 1xxx process, 2xxx callers, 3xxx targets, 4xxx platform and configuration,
// 5xxx leases, orders and drains, 6xxx peers and membership, 7xxx roles and shares.
events! {
    /// The daemon accepts requests.
    Started = (1001, Info);
    /// The settings file has faults.
    SettingsInvalid = (1002, Error);
    /// A graceful shutdown begins.
    ShutdownBegun = (1003, Info);
    /// The last open request ended and the daemon exits.
    ShutdownDone = (1004, Info);
    /// A second interrupt ends the daemon without waiting for open requests.
    ShutdownForced = (1005, Warn);
    /// A background task or a handler of the daemon failed.
    TaskFailed = (1006, Error);
    /// A request was refused or abandoned.
    Refused = (2001, Debug);
    /// A caller disconnected before its answer was complete.
    CallerGone = (2002, Debug);
    /// An attempt failed and the request is retried.
    Retried = (3001, Info);
    /// An interrupted stream is resumed at another target.
    Resumed = (3002, Info);
    /// A target crashed while it ran a request.
    TargetCrashed = (3003, Warn);
    /// A connection to a target received nothing for longer than the timeout.
    TargetSilent = (3004, Warn);
    /// The platform's table does not answer.
    TableDown = (4001, Warn);
    /// The platform's table answers again.
    TableUp = (4002, Info);
    /// A new configuration is in force on this host.
    ConfigInForce = (4003, Info);
    /// A stored configuration cannot be read; the previous one stays in force.
    ConfigUnreadable = (4004, Error);
    /// The table names an older configuration than the one in force; the newer one stays in force.
    ConfigRollbackIgnored = (4005, Error);
    /// This host acquired a group's lease.
    LeaseTaken = (5001, Info);
    /// This host no longer holds a group's lease.
    LeaseEnded = (5002, Info);
    /// An order to a target was sent, or sending it failed.
    OrderSent = (5003, Info);
    /// An order is settled: it was carried out, failed or had no effect.
    OrderSettled = (5004, Info);
    /// An operator confirmed that a target's pending order can no longer be sent.
    TargetReleased = (5005, Warn);
    /// The row of a lease or group is malformed.
    RowMalformed = (5006, Error);
    /// A connection to the peers' port failed to authenticate with the shared key.
    PeerRefused = (6001, Warn);
    /// Heartbeats of an entry host arrive for the first time, or again.
    PeerUp = (6002, Info);
    /// Heartbeats of an entry host no longer arrive.
    PeerDown = (6003, Warn);
    /// The host list does not answer.
    HostListDown = (6004, Warn);
    /// The planner decided to change an engine's role or model.
    ChangePlanned = (7001, Info);
}

/// Logs an event at its level, with its number as the prefix of the message.
///
/// For example: `event!(Event::Started, "listening on {addr}")`.
#[macro_export]
macro_rules! event {
    ($event:expr, $($arg:tt)+) => {{
        let event: $crate::event::Event = $event;
        log::log!(event.level(), "FK-{} {}", event.number(), format_args!($($arg)+));
    }};
}
