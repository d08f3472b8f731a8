"""Base class of the lease holder: offers free capacity to waiting tasks."""

from collections.abc import Callable
from typing import Any

from hawthorntrack.coordination.run_estimates import RunEstimates
from hawthorntrack.state.clock import Clock
from hawthorntrack.state.lease_times import LeaseTimes
from hawthorntrack.state.mailbox import Mailbox


class RoomOffering(RunEstimates):
    """Offers the target's free capacity to entry instances whose tasks wait.

    Parameters
    ----------
    calls, target_record, clock, first_token, lease_times, awake_clock
        As for `RunEstimates`.
    send : callable
        Sends a message to a peer; called with the peer's address and the message.
    share_room : bool
        Whether free capacity is offered.
    """

    def __init__(
        self,
        calls: Mailbox,
        target_record: Mailbox,
        clock: Clock,
        first_token: int,
        lease_times: LeaseTimes,
        awake_clock: Clock,
        send: Callable[[str, Any], None],
        share_room: bool,
    ) -> None:
        super().__init__(
            calls, target_record, clock, first_token, lease_times, awake_clock
        )
        self.send = send
        self.share_room = share_room
