"""Token buckets: bounds on how often something may be done."""


class TokenBucket:
    """Allows `rate` takes a second, and `burst` at once.

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
        """Add the tokens that came in since the last call."""
        since = now - (now if self.filled_at is None else self.filled_at)
        self.tokens = min(self.burst, self.tokens + since * self.rate)
        self.filled_at = now

    def take(self, now: float, count: float = 1) -> bool:
        """Take `count` tokens if there are as many."""
        self.fill(now)
        if self.tokens < count:
            return False
        self.tokens -= count
        return True

    def wait_s(self, now: float) -> float:
        """Return the seconds until one token is there."""
        self.fill(now)
        return max(0.0, (1 - self.tokens) / self.rate) if self.rate else 1.0

    def add_tokens(self, count: float) -> None:
        """Add tokens that work done has earned."""
        self.tokens = min(self.burst, self.tokens + count)
