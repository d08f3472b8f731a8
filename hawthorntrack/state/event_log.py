"""Log lines whose volume stays bounded under load."""

import time

from eliot import log_message

from hawthorntrack.state.metrics import LOG_LINES_DROPPED
from hawthorntrack.state.token_bucket import TokenBucket

EVENT_LINES_PER_S = 40.0  # of one event in one process
EVENT_LINES_BURST = 80.0

buckets: dict[str, TokenBucket] = {}


def log_event(event: str, **fields: object) -> None:
    """Write one line for an event, unless it came too often lately.

    Explanation
    -----------
    Lines that are left out are counted by event, so that a reader knows of them.
    """
    bucket = buckets.get(event)
    if bucket is None:
        bucket = buckets[event] = TokenBucket(EVENT_LINES_PER_S, EVENT_LINES_BURST)
    if bucket.take(time.monotonic()):
        log_message(event, **fields)
    else:
        LOG_LINES_DROPPED.labels(event=event).inc()
