"""The queues and services that a configuration version defines."""

from typing import NamedTuple


class Queue(NamedTuple):
    """A queue of jobs, chosen by host and path of a request.

    Attributes
    ----------
    path_prefix : str
        The path that the queue's requests begin with; the job's key follows.
    latency_target_s : float
        What a job may take beyond its stretched run time and still be in time.
    priority : int
        0 comes first.
    max_attempts : int
        Failed runs of one task after which its job has failed.
    stretch : float
        Factor on a job's longest chain of run times; with `latency_target_s` it
        gives the job's latency objective.
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
        Whether its targets turn away what exceeds their capacity themselves.
    """

    name: str
    targets_enforce_capacity: bool


class Limits(NamedTuple):
    """Bounds on callers' requests."""

    body_bytes: int = 262_144
    header_bytes: int = 16_384


class Catalogue(NamedTuple):
    """One version of the configuration.

    Attributes
    ----------
    version : int
        Grows with each change. 0: no configuration is known.
    """

    version: int = 0
    queues: tuple[Queue, ...] = ()
    services: tuple[Service, ...] = ()
    limits: Limits = Limits()


class QueueIndex:
    """Finds the queue of a request by host and longest path prefix.

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
        """Return the queue whose prefix is the longest that `path` begins with."""
        name = host.rsplit(":", 1)[0].lower()
        queues = self.by_host.get(name, ())
        return next((q for q in queues if path.startswith(q.path_prefix)), None)
