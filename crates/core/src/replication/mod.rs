//! Epochs, fencing, and logs and write-once claims kept by a majority of store replicas.
