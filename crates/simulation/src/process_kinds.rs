//! One enum for the different processes of a world, since a simulation holds processes of one type.
//!
//! Owns the dispatch of calls to whichever process a value holds. Relies on each kind being a [`Process`] with a
//! method `restarted(&self)` of its own, which gives what a crash leaves of it.
//!
//! [`Process`]: crate::Process

/// Defines an enum whose variants each hold one kind of process, and passes every call on.
///
/// A process of a kind is converted by `into`, and found again by [`ProcessKind`]. `restarted` gives the process after
/// a crash, from the kind's own method of that name.
///
/// [`ProcessKind`]: crate::ProcessKind
#[macro_export]
macro_rules! process_kinds {
    ($(#[$meta:meta])* $visibility:vis enum $name:ident($message:ty) {
        $($(#[$kind_meta:meta])* $kind:ident($process:ty),)+
    }) => {
        $(#[$meta])*
        $visibility enum $name {
            $($(#[$kind_meta])* $kind(Box<$process>),)+
        }

        impl $name {
            /// The process after a crash.
            $visibility fn restarted(&self) -> Self {
                match self {
                    $(Self::$kind(process) => Self::$kind(Box::new(process.restarted())),)+
                }
            }
        }

        $(
            impl From<$process> for $name {
                fn from(process: $process) -> Self {
                    Self::$kind(Box::new(process))
                }
            }

            impl $crate::ProcessKind<$process> for $name {
                fn kind(&self) -> Option<&$process> {
                    if let Self::$kind(process) = self { Some(process) } else { None }
                }

                fn kind_mut(&mut self) -> Option<&mut $process> {
                    if let Self::$kind(process) = self { Some(process) } else { None }
                }
            }
        )+

        impl $crate::Process for $name {
            type Message = $message;

            fn start(&mut self, now: ::lichenpulley_core::time::Timestamp, outbox: &mut $crate::Outbox<$message>) {
                match self {
                    $(Self::$kind(process) => $crate::Process::start(process.as_mut(), now, outbox),)+
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
                    $(Self::$kind(process) => $crate::Process::receive(process.as_mut(), now, from, message, outbox),)+
                }
            }

            fn wake(&mut self, now: ::lichenpulley_core::time::Timestamp, outbox: &mut $crate::Outbox<$message>) {
                match self {
                    $(Self::$kind(process) => $crate::Process::wake(process.as_mut(), now, outbox),)+
                }
            }

            fn next_wake(&self) -> Option<::lichenpulley_core::time::Timestamp> {
                match self {
                    $(Self::$kind(process) => $crate::Process::next_wake(process.as_ref()),)+
                }
            }
        }
    };
}
