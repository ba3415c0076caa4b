//! A macro that combines several process types into one enum, because a simulation holds processes of one type.
//!
//! Each type must implement [`Process`] and have a method `restarted(&self)` that returns its state after a crash.
//!
//! [`Process`]: crate::Process

/// Defines an enum with one variant for each kind of process, and forwards the calls of [`Process`] to the variants.
///
/// A process is converted to the enum with `into` and accessed through [`ProcessKind`]. The enum's `restarted` calls
/// the method of that name of the process.
///
/// [`Process`]: crate::Process
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
            /// Returns the process as it restarts after a crash.
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
