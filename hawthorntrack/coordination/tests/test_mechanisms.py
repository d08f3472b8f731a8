"""Each mechanism is needed: without it, the scene that it is meant for breaks."""

import asyncio

import pytest

from hawthorntrack.coordination.executor import Executor
from hawthorntrack.coordination.pairing import SlotPairing
from hawthorntrack.coordination.tests.fakes import (
    check,
    load,
    settle,
    starts_after_zone_out,
    stop,
)
from hawthorntrack.protocol import rows
from hawthorntrack.state.control import ControlView
from hawthorntrack.state.registry import Registry
from hawthorntrack.state.started import StartMemory
from hawthorntrack.state.table import ABSENT

removals = Registry("removed mechanism")


@removals.register("witness")
def admit_without_witness(patch):
    """Admit keys at once, without a note."""
    patch.setattr(
        SlotPairing,
        "note",
        lambda self, slot, token, key: self.admit_noted(slot, (token,)),
    )


@removals.register("start memory")
def forget_starts(patch):
    """Start whatever a start message says."""
    patch.setattr(Executor, "repeat", lambda self, name: False)


@removals.register("promise not to start")
def forget_promises(patch):
    """Forget what was promised never to start."""
    patch.setattr(StartMemory, "renounced", lambda self, name, attempt: False)


@removals.register("freshness")
def trust_any_view(patch):
    """Act on a view however old it is."""
    patch.setattr(ControlView, "fresh", lambda self, now, freshness_s: True)


async def owner_killed(made, router, make_job):
    """An owner dies, and its callers submit again."""
    loading = asyncio.ensure_future(load(made, router, make_job, again_s=(2.5, 4.0)))
    await asyncio.sleep(1.5)
    made.kill("g1")
    made.kill("g2")
    check(made, await settle(await loading))


async def messages_doubled_and_late(made, router, make_job):
    """Messages come twice, or seconds late."""
    made.doubled = made.late = 0.3
    loading = load(made, router, make_job, jobs=60)
    check(made, await settle(await loading))


async def zone_out_while_frozen(made, router, make_job):
    """A zone is taken out while guards there are frozen with work on its way.

    Their targets count as present for longer than the freeze: otherwise that alone
    would keep the guards from starting anything.
    """
    patient = made.settings.timing._replace(target_ttl_s=30.0)
    for name in ("g0", "g1"):
        for actor in made.nodes[name].actors:
            actor.settings = made.settings._replace(
                place=made.places[name], timing=patient
            )
    loading = asyncio.ensure_future(
        load(made, router, make_job, jobs=250, gap_s=0.012, again_s=())
    )
    await asyncio.sleep(1)
    made.freeze("g0")
    made.freeze("g1")
    await asyncio.sleep(0.5)
    key = rows.zones_key("production")
    await made.table.write(key, ABSENT, rows.write_zones(["recife"]))
    out_at = asyncio.get_running_loop().time()
    await asyncio.sleep(5)
    made.resume("g0")
    made.resume("g1")
    await settle(await loading)
    assert starts_after_zone_out(made, "recife", out_at) == []


SCENES = {
    "witness": owner_killed,
    "start memory": messages_doubled_and_late,
    "promise not to start": messages_doubled_and_late,
    "freshness": zone_out_while_frozen,
}


@pytest.mark.parametrize("name", sorted(SCENES))
def test_scene_breaks_without_and_holds_with(run, cluster, make_job, monkeypatch, name):
    async def scene():
        made, router = await cluster(seed=3)
        try:
            await SCENES[name](made, router, make_job)
        finally:
            await stop(made)

    run(scene())
    removals[name](monkeypatch)
    with pytest.raises(AssertionError):
        run(scene())
