"""The view of configuration and membership that a process acts on."""

from collections.abc import Iterable
from typing import NamedTuple

from hawthorntrack.state.documents import Document
from hawthorntrack.state.values import GuardInfo, Incarnation, SlotRow


class Config(NamedTuple):
    """The configuration of one environment as it was read.

    Attributes
    ----------
    stamp : int
        Highest table version among its rows.
    """

    stamp: int
    documents: tuple[Document, ...]
    zones_out: frozenset[str]


class ControlView(NamedTuple):
    """What a process holds to be in force.

    Attributes
    ----------
    stamp : int
        Highest table version among the configuration rows; it only grows.
    neighbours : tuple of Incarnation
        The guards that this process tells and asks, a sample of all others.
    last_success_at : float
        Loop time at which the newest successful poll was sent, by this process or by
        a peer that told what it found, in seconds.
    last_failure_at : float
        Loop time at which the newest failed poll was sent, in seconds.
    """

    stamp: int = 0
    documents: dict[str, Document] = {}
    zones_out: frozenset[str] = frozenset()
    guards: dict[str, GuardInfo] = {}
    slots: dict[int, SlotRow] = {}
    neighbours: tuple[Incarnation, ...] = ()
    last_success_at: float = float("-inf")
    last_failure_at: float = float("-inf")

    def is_fresh(self, now: float, freshness_s: float) -> bool:
        """Return whether the table was asked within the last `freshness_s`.

        Explanation
        -----------
        A poll that failed counts as asked: in an outage of the table nothing can
        change, and work goes on. A process that was frozen has neither, and must
        not act on its view until it has asked again.
        """
        return self.age_s(now) <= freshness_s

    def age_s(self, now: float) -> float:
        """Return how long ago the table was asked, in seconds."""
        return now - max(self.last_success_at, self.last_failure_at)


def apply_config(view: ControlView, config: Config) -> ControlView:
    """Return the view with a configuration taken in, never a lower version.

    Parameters
    ----------
    view : ControlView
        The view before.
    config : Config
        The whole configuration, from the table or a peer.

    Returns
    -------
    ControlView
        The same view when the configuration is not newer than it.

    Examples
    --------
    >>> view = apply_config(ControlView(), Config(7, (), frozenset({"recife"})))
    >>> apply_config(view, Config(6, (), frozenset())).zones_out
    frozenset({'recife'})
    """
    if config.stamp <= view.stamp:
        return view
    return view._replace(
        stamp=config.stamp,
        documents={
            **view.documents,
            **newer_documents(view.documents, config.documents),
        },
        zones_out=config.zones_out,
    )


def newer_documents(
    known: dict[str, Document], read: Iterable[Document]
) -> dict[str, Document]:
    """Return the documents read that are above the version known."""
    return {
        document.service: document
        for document in read
        if document.service not in known
        or known[document.service].version < document.version
    }
