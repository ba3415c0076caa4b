//! Jobs, sample slots, version spans, staleness and hand-over to the trainer (brief points 1 to 3).
