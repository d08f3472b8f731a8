"""Ticks of different intervals keep their rates although they share one timer."""

import asyncio

from hawthorntrack.state.mailbox import Mailbox, tick


def test_ticks_of_each_interval_keep_their_rate_on_a_shared_timer(run):
    async def count_ticks():
        intervals = [0.1, 0.2, 0.25, 0.3, 1.0, 10.0]
        mailboxes = [(Mailbox("test"), interval_s) for interval_s in intervals]
        ticking = asyncio.ensure_future(tick(mailboxes))
        await asyncio.sleep(30.05)
        ticking.cancel()
        counts = [box.queue.qsize() for box, _ in mailboxes]
        assert counts == [300, 150, 120, 100, 30, 3]

    run(count_ticks())
