//! Serves callers: takes a request, picks a replica, brings the whole answer back.
