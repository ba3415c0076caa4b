//! Drives membership over UDP and publishes the cluster view.
