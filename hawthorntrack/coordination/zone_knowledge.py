"""What a guard knows of the zones out of service, and when it must read them itself.

Entry instances watch the operators' directives and tell guards the zones, and for how
long the store has not answered them. While some have had no answer for too long, a
guard reads the zones from the store. One that cannot read them either continues with
what it knows, so that an outage of the store stops no work.
"""

from hawthorntrack.state.directives import ZonesAsOf

# The store answers an entry instance every 0.7 s. No task may start in a zone 5 s after
# it was taken out of service, and the rest of that time is left for the guard's reads.
OUTDATED_AFTER_S = 2.0
# Allows two failed reads within that time.
READ_RETRY_S = 0.8
# Longest time without a read, or an attempt, after which tasks may still be started.
MAX_AGE_FOR_STARTS_S = 4.0


def is_outdated(age_s: float) -> bool:
    """Return whether an entry instance's directives count as outdated at this age."""
    return age_s >= OUTDATED_AFTER_S


class ZoneKnowledge:
    """A guard's knowledge of the zones out of service.

    Attributes
    ----------
    known : ZonesAsOf
        The newest zones that an entry instance or the store has reported.
    as_of : float
        Time at which they were the newest in the store, in seconds of the guard's
        clock.
    failed_at : float
        Time of the last read that got no answer, on the same clock.
    read_pending : bool
        Whether a read is on its way.
    outdated_entries : set of str
        Linked entry instances whose directives are outdated.
    """

    def __init__(self) -> None:
        self.known = ZonesAsOf()
        self.as_of = 0.0
        self.failed_at = 0.0
        self.read_pending = False
        self.outdated_entries: set[str] = set()

    def update(self, reported: ZonesAsOf) -> bool:
        """Take in a report, unless a newer one is known; return whether zones changed.

        Explanation
        -----------
        An older report never replaces a newer one, whoever sent it.
        """
        if reported.version <= self.known.version:
            return False
        previous, self.known = self.known, reported
        return previous.zones_out != reported.zones_out

    def record_age(self, entry: str, age_s: float, sent_at: float) -> None:
        """Record the age of an entry instance's directives.

        Parameters
        ----------
        entry : str
            Address of the entry instance.
        age_s : float
            Time in seconds since the store last answered it.
        sent_at : float
            Time on the guard's clock at which that was true, or earlier.
        """
        self.as_of = max(self.as_of, sent_at - age_s)
        if is_outdated(age_s):
            self.outdated_entries.add(entry)
        else:
            self.outdated_entries.discard(entry)

    def record_read(self, reported: ZonesAsOf | None, asked_at: float) -> bool:
        """Record a read's outcome, None if it got no answer; return as `update`."""
        self.read_pending = False
        if reported is None:
            self.failed_at = max(self.failed_at, asked_at)
            return False
        self.as_of = max(self.as_of, asked_at)
        return self.update(reported)

    def needs_read(self, now: float) -> bool:
        """Return whether the guard must read the zones from the store.

        Explanation
        -----------
        Load pattern: the store rejects all entry instances of many guards, and each
        guard reads at most once in `OUTDATED_AFTER_S`. On a calm day none reads.
        """
        return (
            bool(self.outdated_entries)
            and not self.read_pending
            and is_outdated(now - self.as_of)
            and now - self.failed_at >= READ_RETRY_S
        )

    def allows_starts(self, now: float) -> bool:
        """Return whether the zones are known well enough to start a task.

        Explanation
        -----------
        Only the first orders after a long silence are held back, until a read has
        succeeded or failed: those of an entry instance that was frozen, for instance.
        """
        return now - max(self.as_of, self.failed_at) < MAX_AGE_FOR_STARTS_S
