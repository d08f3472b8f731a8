"""The task that sends a guard's heartbeats."""

from itertools import islice

from hawthorntrack.coordination.slot_replication import Send
from hawthorntrack.protocol import local, messages
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.mailbox import Tick
from hawthorntrack.state.settings import Settings
from hawthorntrack.state.values import GuardInfo, Incarnation, TargetLoad


class HeartbeatSender(Actor):
    """Sends heartbeats to partners at every interval, to others in turn.

    Parameters
    ----------
    me : GuardInfo
        This guard.
    settings : Settings
        Its settings: `fanout` says how many it tells at a time.
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
        """Take the load that the next heartbeat tells."""
        self.loads = change.loads

    @handles(local.PartnersChanged)
    def on_partners_changed(
        self, change: local.PartnersChanged, sender: Incarnation
    ) -> None:
        """Take the guards that share a slot with this one."""
        self.partners = change.guards - {self.me.incarnation}

    @handles(local.ViewChanged)
    def on_view_changed(self, change: local.ViewChanged, sender: Incarnation) -> None:
        """Take the guards to tell."""
        self.peer_guards = change.view.neighbours

    @handles(local.Drain)
    def on_drain(self, drain: local.Drain, sender: Incarnation) -> None:
        """Say from now on that this guard is leaving."""
        self.draining = True
        self.on_tick(Tick(), sender)

    @handles(Tick)
    def on_tick(self, tick: Tick, sender: Incarnation) -> None:
        """Send one round of heartbeats; this guard's own tasks get one too."""
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
