"""Actor that sends a guard's heartbeats to other guards."""

from itertools import islice

from hawthorntrack.coordination.slot_replication import Send
from hawthorntrack.protocol import local, messages
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.mailbox import Tick
from hawthorntrack.state.settings import Settings
from hawthorntrack.state.values import GuardInfo, Incarnation, TargetLoad


class HeartbeatSender(Actor):
    """Sends a heartbeat to all partners at every interval, and to other guards in turn.

    Parameters
    ----------
    me : GuardInfo
        This guard.
    settings : Settings
        Its settings; `fanout` is the number of other guards per interval.
    send : callable
        Sends a message to an incarnation.
    """

    exposed_name = "Heartbeats"

    def __init__(self, me: GuardInfo, settings: Settings, send: Send) -> None:
        super().__init__(settings.bounds.mailbox)
        self.me = me
        self.settings = settings
        self.send = send
        self.loads: tuple[TargetLoad, ...] = ()
        self.partners: frozenset[Incarnation] = frozenset()
        self.peer_guards: tuple[Incarnation, ...] = ()
        self.next_index = 0
        self.draining = False

    @handles(local.LoadChanged)
    def on_load_changed(self, change: local.LoadChanged, sender: Incarnation) -> None:
        """Store the target load that the next heartbeat reports."""
        self.loads = change.loads

    @handles(local.PartnersChanged)
    def on_partners_changed(
        self, change: local.PartnersChanged, sender: Incarnation
    ) -> None:
        """Store the guards that share a slot with this one."""
        self.partners = change.guards - {self.me.incarnation}

    @handles(local.ViewChanged)
    def on_view_changed(self, change: local.ViewChanged, sender: Incarnation) -> None:
        """Store the other guards that heartbeats are sent to."""
        self.peer_guards = change.view.neighbours

    @handles(local.Drain)
    def on_drain(self, drain: local.Drain, sender: Incarnation) -> None:
        """Report from now on that this guard is draining."""
        self.draining = True
        self.on_tick(Tick(), sender)

    @handles(Tick)
    def on_tick(self, tick: Tick, sender: Incarnation) -> None:
        """Send one round of heartbeats, including one to this guard's own actors."""
        heartbeat = messages.Heartbeat(self.me.place, self.draining, self.loads)
        fanout = self.settings.bounds.fanout
        chosen = dict.fromkeys(
            islice(self.peer_guards, self.next_index, self.next_index + fanout)
        )
        self.next_index = (
            self.next_index + fanout
            if self.next_index + fanout < len(self.peer_guards)
            else 0
        )
        for guard in {**chosen, **dict.fromkeys(self.partners)}:
            self.send(guard, heartbeat)
        self.send(self.me.incarnation, heartbeat)
