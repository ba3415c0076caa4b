//! One enum for the different processes of a world, since a simulation holds processes of one type.
//!
//! Owns the dispatch of calls to whichever process a value holds. Relies on each kind being a [`Process`] with a
//! method `restarted(&self)` of its own, which gives what a crash leaves of it.
//!
//! [`Process`]: crate::Process

/// Defines an enum whose variants each hold one kind of process, boxed or not, and passes every call on.
///
/// `restarted` gives the process after a crash, from the kind's own method of that name.
#[macro_export]
macro_rules! process_kinds {
    ($(#[$meta:meta])* $visibility:vis enum $name:ident($message:ty) {
        $($(#[$kind_meta:meta])* $kind:ident($process:ty),)+
    }) => {
        $(#[$meta])*
        $visibility enum $name {
            $($(#[$kind_meta])* $kind($process),)+
        }

        impl $name {
            /// The process after a crash.
            $visibility fn restarted(&self) -> Self {
                match self {
                    $(Self::$kind(process) => Self::$kind(process.restarted().into()),)+
                }
            }
        }

        impl $crate::Process for $name {
            type Message = $message;

            fn start(&mut self, now: ::lichenpulley_core::time::Timestamp, outbox: &mut $crate::Outbox<$message>) {
                match self {
                    $(Self::$kind(process) => $crate::Process::start(process, now, outbox),)+
                }
            }

            fn receive(
                &mut self,
                now: ::lichenpulley_core::time::Timestamp,
                from: $crate::ProcessId,
                message: $message,
                outbox: &mut $crate::Outbox<$message>,
            ) {
                match self {
                    $(Self::$kind(process) => $crate::Process::receive(process, now, from, message, outbox),)+
                }
            }

            fn wake(&mut self, now: ::lichenpulley_core::time::Timestamp, outbox: &mut $crate::Outbox<$message>) {
                match self {
                    $(Self::$kind(process) => $crate::Process::wake(process, now, outbox),)+
                }
            }

            fn next_wake(&self) -> Option<::lichenpulley_core::time::Timestamp> {
                match self {
                    $(Self::$kind(process) => $crate::Process::next_wake(process),)+
                }
            }
        }
    };
}
