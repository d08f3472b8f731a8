"""Queues and services that the configuration defines, and look-up of queues."""

from typing import NamedTuple


class Queue(NamedTuple):
    """A queue of jobs, selected by the host and path of a request.

    Attributes
    ----------
    path_prefix : str
        Path prefix of the queue's requests; the job's key follows it.
    latency_target_s : float
        Part of a job's latency objective that does not depend on its run time, in
        seconds. It is added to the stretched run time.
    priority : int
        0 is the highest priority.
    max_attempts : int
        Number of failed runs of one task after which its job fails.
    stretch : float
        Factor on the run time of a job's critical path. Together with
        `latency_target_s` it gives the job's latency objective.
    """

    name: str
    host: str
    path_prefix: str
    service: str
    latency_target_s: float
    priority: int
    max_attempts: int
    stretch: float


class Service(NamedTuple):
    """A pool of targets.

    Attributes
    ----------
    targets_enforce_capacity : bool
        Whether its targets themselves refuse runs that exceed their capacity.
    """

    name: str
    targets_enforce_capacity: bool


class Limits(NamedTuple):
    """Size limits on callers' requests."""

    body_bytes: int = 262_144
    header_bytes: int = 16_384


class Catalogue(NamedTuple):
    """One version of the configuration.

    Attributes
    ----------
    version : int
        Increases with each change; 0 before any configuration has been read.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()


class QueueIndex:
    """Finds the queue of a request by its host and the longest matching path prefix.

    Parameters
    ----------
    catalogue : Catalogue
        The configuration in force.

    Examples
    --------
    >>> queue = Queue("visits", "a.example", "/v/", "visits", 0.06, 0, 3, 1.6)
    >>> index = QueueIndex(Catalogue(7, (queue,)))
    >>> index.find("A.example:80", "/v/0123").name
    'visits'
    >>> index.find("b.example", "/v/0123") is None
    True
    """

    def __init__(self, catalogue: Catalogue) -> None:
        self.by_host: dict[str, list[Queue]] = {}
        for queue in sorted(catalogue.queues, key=lambda q: -len(q.path_prefix)):
            self.by_host.setdefault(queue.host.lower(), []).append(queue)

    def find(self, host: str, path: str) -> Queue | None:
        """Return the queue of `host` with the longest prefix of `path`, or None."""
        name = host.rsplit(":", 1)[0].lower()
        queues = self.by_host.get(name, ())
        return next((q for q in queues if path.startswith(q.path_prefix)), None)
