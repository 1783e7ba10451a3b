//! Numbered log events; `docs/events.md` is their catalogue.

/// Declares the events with number, level and short name.
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
    /// The daemon serves callers.
    Started = (1001, Info);
    /// The settings file has faults.
    SettingsInvalid = (1002, Error);
    /// A graceful shutdown begins.
    ShutdownBegun = (1003, Info);
    /// The last request ended and the daemon exits.
    ShutdownDone = (1004, Info);
    /// A second interrupt ends the daemon at once.
    ShutdownForced = (1005, Warn);
    /// A part of the daemon ended unexpectedly.
    PartFailed = (1006, Error);
    /// A request was refused or given up.
    Refused = (2001, Debug);
    /// A caller went away before its answer was complete.
    CallerGone = (2002, Debug);
    /// An attempt failed and the request is tried again.
    Retried = (3001, Info);
    /// A stream goes on at another target.
    Resumed = (3002, Info);
    /// A target died while it ran a request.
    TargetCrashed = (3003, Warn);
    /// A connection to a target was silent for longer than the bound.
    TargetSilent = (3004, Warn);
    /// The platform's table does not answer.
    TableDown = (4001, Warn);
    /// The platform's table answers again.
    TableUp = (4002, Info);
    /// A new configuration is in force on this host.
    ConfigInForce = (4003, Info);
    /// A stored configuration cannot be read; the last one stays in force.
    ConfigUnreadable = (4004, Error);
    /// The table names an older configuration than the one in force; the newer one stays.
    ConfigWentBack = (4005, Error);
    /// This host holds a group's lease.
    LeaseTaken = (5001, Info);
    /// This host holds a group's lease no more.
    LeaseEnded = (5002, Info);
    /// An order to a target was sent, or sending it failed.
    OrderSent = (5003, Info);
    /// An order is settled: carried out, failed or without effect.
    OrderSettled = (5004, Info);
    /// An operator vouches that a target's pending order can be sent no more.
    TargetReleased = (5005, Warn);
    /// The row of a lease or group has contents that no host writes.
    RowUnusable = (5006, Error);
    /// A connection to the peers' port did not prove the shared key.
    PeerRefused = (6001, Warn);
    /// An entry host is heard for the first time, or again.
    PeerUp = (6002, Info);
    /// An entry host is no longer heard.
    PeerDown = (6003, Warn);
    /// The host list does not answer.
    HostListDown = (6004, Warn);
    /// A change of an engine's role or model is planned.
    ChangePlanned = (7001, Info);
}

/// Logs an event with its number in front.
///
/// `event!(Event::Started, "listening on {addr}")`
#[macro_export]
macro_rules! event {
    ($event:expr, $($arg:tt)+) => {{
        let event: $crate::event::Event = $event;
        log::log!(event.level(), "FK-{} {}", event.number(), format_args!($($arg)+));
    }};
}
