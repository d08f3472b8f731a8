"""Ticks share one timer and keep their rates."""

import asyncio

from hawthorntrack.state.mailbox import Mailbox, tick


def test_each_interval_keeps_its_rate(run):
    async def scene():
        intervals = [0.1, 0.2, 0.25, 0.3, 1.0, 10.0]
        boxes = [(Mailbox("test"), interval_s) for interval_s in intervals]
        ticking = asyncio.ensure_future(tick(boxes))
        await asyncio.sleep(30.05)
        ticking.cancel()
        counts = [box.queue.qsize() for box, _ in boxes]
        assert counts == [300, 150, 120, 100, 30, 3]

    run(scene())
