"""Base class of the dispatcher: asks guards for capacity that its tasks wait for."""

from collections.abc import Callable
from typing import Any

from hawthorntrack.coordination.look_ahead_placement import LookAheadPlacement
from hawthorntrack.coordination.working_set import WorkingSet
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.lease_times import LeaseTimes
from hawthorntrack.state.mailbox import Mailbox


class RoomRequests(LookAheadPlacement):
    """Reports waiting tasks to guards, and uses the capacity that they offer.

    Parameters
    ----------
    zone, far_factor, send, links, clock, lease_times, working_set
        As for `LookAheadPlacement`.
    share_room : bool
        Whether guards offer capacity.
    """

    def __init__(
        self,
        zone: str,
        far_factor: float,
        send: Callable[[str, Any], None],
        links: Mailbox,
        clock: Clock,
        lease_times: LeaseTimes,
        working_set: WorkingSet,
        share_room: bool,
    ) -> None:
        super().__init__(
            zone, far_factor, send, links, clock, lease_times, working_set, share_room
        )
