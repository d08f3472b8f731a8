"""The task that sends a guard's heartbeats."""

from itertools import islice

from hawthorntrack.coordination.pairing import Send
from hawthorntrack.protocol import local, messages
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.mailbox import Tick
from hawthorntrack.state.settings import Settings
from hawthorntrack.state.values import GuardInfo, Incarnation, TargetLoad


class Heartbeats(Actor):
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

    def __init__(self, me: GuardInfo, settings: Settings, send: Send) -> None:
        super().__init__(settings.bounds.mailbox)
        self.me = me
        self.settings = settings
        self.send = send
        self.loads: tuple[TargetLoad, ...] = ()
        self.partners: frozenset[Incarnation] = frozenset()
        self.others: tuple[Incarnation, ...] = ()
        self.turn = 0
        self.draining = False

    @handles(local.LoadChanged)
    def take_load(self, change: local.LoadChanged, sender: Incarnation) -> None:
        """Take the load that the next heartbeat tells."""
        self.loads = change.loads

    @handles(local.Partners)
    def take_partners(self, change: local.Partners, sender: Incarnation) -> None:
        """Take the guards that share a slot with this one."""
        self.partners = change.guards - {self.me.incarnation}

    @handles(local.ViewChanged)
    def take_view(self, change: local.ViewChanged, sender: Incarnation) -> None:
        """Take the guards to tell."""
        self.others = change.view.neighbours

    @handles(local.Drain)
    def drain(self, drain: local.Drain, sender: Incarnation) -> None:
        """Say from now on that this guard is leaving."""
        self.draining = True
        self.beat(Tick(), sender)

    @handles(Tick)
    def beat(self, tick: Tick, sender: Incarnation) -> None:
        """Send one round of heartbeats; this guard's own tasks get one too."""
        beat = messages.Beat(self.me.place, self.draining, self.loads)
        fanout = self.settings.bounds.fanout
        chosen = dict.fromkeys(islice(self.others, self.turn, self.turn + fanout))
        self.turn = self.turn + fanout if self.turn + fanout < len(self.others) else 0
        for guard in {**chosen, **dict.fromkeys(self.partners)}:
            self.send(guard, beat)
        self.send(self.me.incarnation, beat)
