"""The view of configuration and membership that a process acts on."""

from collections.abc import Iterable
from typing import NamedTuple

from hawthorntrack.state.documents import Document
from hawthorntrack.state.values import GuardInfo, Incarnation, SlotRow


class Config(NamedTuple):
    """The configuration of one environment, as read from the table.

    Attributes
    ----------
    stamp : int
        Version of the configuration: the highest table version among its rows.
    """

    stamp: int
    documents: tuple[Document, ...]
    zones_out: frozenset[str]


class ControlView(NamedTuple):
    """The newest configuration and membership that a process has received.

    Attributes
    ----------
    stamp : int
        Version of the configuration: the highest table version among its rows. It
        never decreases.
    neighbours : tuple of Incarnation
        The guards with which this process exchanges configuration and, if it is a
        guard itself, to which it sends heartbeats: a sample of all other guards.
    last_success_at : float
        Loop time in seconds at which the newest successful poll of this process was
        sent, or as of which a peer's reply with its rows is valid, if that is later.
    last_failure_at : float
        Loop time in seconds at which the newest failed poll was sent.
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
        """Return whether the table was polled within the last `freshness_s` seconds.

        Explanation
        -----------
        A failed poll counts as well: in an outage of the table nothing can change,
        so work continues. A process that was frozen has polled neither with success
        nor with failure, and must not act on its view until it has polled again.
        """
        return self.age_s(now) <= freshness_s

    def age_s(self, now: float) -> float:
        """Return the time since the newest poll of the table, in seconds.

        Polls that failed, and those of peers whose rows were received, count as well.
        """
        return now - max(self.last_success_at, self.last_failure_at)


def apply_config(view: ControlView, config: Config) -> ControlView:
    """Return the view updated with a configuration, unless the view is as new.

    Parameters
    ----------
    view : ControlView
        The view before the update.
    config : Config
        The whole configuration, from the table or a peer.

    Returns
    -------
    ControlView
        The given view itself if `config` is not newer.

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
    """Return the documents in `read` that are newer than the known ones, by service."""
    return {
        document.service: document
        for document in read
        if document.service not in known
        or known[document.service].version < document.version
    }
