"""Rate-limited logging of events."""

import time

from eliot import log_message

from hawthorntrack.state.metrics import LOG_LINES_DROPPED
from hawthorntrack.state.token_bucket import TokenBucket

# The limits hold for each event separately in one process.
EVENT_LINES_PER_S = 40.0
EVENT_LINES_BURST = 80.0

buckets: dict[str, TokenBucket] = {}


def log_event(event: str, **fields: object) -> None:
    """Write one log line for an event, unless its rate limit is exceeded.

    Explanation
    -----------
    The rate limit of each event bounds the volume of the log under load. Lines that
    are dropped are counted in a metric by event, so that operators can see that lines
    are missing.
    """
    bucket = buckets.get(event)
    if bucket is None:
        bucket = buckets[event] = TokenBucket(EVENT_LINES_PER_S, EVENT_LINES_BURST)
    if bucket.take(time.monotonic()):
        log_message(event, **fields)
    else:
        LOG_LINES_DROPPED.labels(event=event).inc()
