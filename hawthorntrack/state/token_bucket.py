"""Rate limiting by token buckets."""


class TokenBucket:
    """Allows `rate` operations per second on average, and `burst` at once.

    Examples
    --------
    >>> bucket = TokenBucket(rate=2, burst=1)
    >>> bucket.take(0.0), bucket.take(0.1), bucket.take(0.6)
    (True, False, True)
    """

    def __init__(self, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst
        self.tokens = burst
        self.filled_at: float | None = None

    def fill(self, now: float) -> None:
        """Add the tokens that have accrued since the last call."""
        elapsed_s = now - (now if self.filled_at is None else self.filled_at)
        self.tokens = min(self.burst, self.tokens + elapsed_s * self.rate)
        self.filled_at = now

    def take(self, now: float, count: float = 1) -> bool:
        """Take `count` tokens and return True, or return False if there are too few."""
        self.fill(now)
        if self.tokens < count:
            return False
        self.tokens -= count
        return True

    def wait_s(self, now: float) -> float:
        """Return the time in seconds until one token is available.

        If the rate is 0, the time is unknown, and the result is always 1 second.
        """
        self.fill(now)
        return max(0.0, (1 - self.tokens) / self.rate) if self.rate else 1.0

    def add_tokens(self, count: float) -> None:
        """Add tokens in return for completed work, up to the burst size."""
        self.tokens = min(self.burst, self.tokens + count)
