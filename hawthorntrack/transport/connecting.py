"""Errors of connecting to an address that another program has given."""

from collections.abc import Iterator
from contextlib import contextmanager

from hawthorntrack.state.event_log import log_event
from hawthorntrack.state.metrics import BAD_INPUT, labelled


class UnusableAddress(OSError):
    """An address that cannot be connected to, whatever listens there."""

    def __init__(self, address: str, problem: Exception) -> None:
        super().__init__(
            f"no connection can be made to {address[:100]!r}: {problem}. Correct the "
            "address where it is configured or reported."
        )


@contextmanager
def address_errors(edge: str, address: str) -> Iterator[None]:
    """Raise `UnusableAddress` for what an unusable address raises; count and log it.

    Explanation
    -----------
    Besides network errors, the resolver raises `UnicodeError`, a `ValueError`, for a
    host that it cannot encode, and sockets raise `OverflowError` for a port out of
    range. Clients handle `OSError`, and any other error ends their process.

    Parameters
    ----------
    edge : str
        Label of the counter: whose address it is.
    address : str
        The address that the enclosed code connects to.
    """
    try:
        yield
    except (ValueError, OverflowError) as error:
        labelled(BAD_INPUT, edge, "address").inc()
        log_event("connection:no_address", edge=edge, problem=str(error))
        raise UnusableAddress(address, error) from error
