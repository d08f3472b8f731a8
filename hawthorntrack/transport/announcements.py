"""HTTP interface through which a target registers with the guard beside it."""

import asyncio

import msgspec
from aiohttp import web

from hawthorntrack.protocol import local
from hawthorntrack.protocol.bodies import BadBody, decode_announcement
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.outcomes import BAD_REQUEST, QUEUE_FULL, refuse
from hawthorntrack.transport.web import (
    JSON_TYPE,
    answer_response,
    bad_input_response,
    read_body,
)


class AnnouncementsApi:
    """Passes targets' announcements to the executor.

    Parameters
    ----------
    executor : Mailbox
        Mailbox of the actor that runs tasks on the target.
    """

    def __init__(self, executor: Mailbox) -> None:
        self.executor = executor

    def routes(self) -> list[web.RouteDef]:
        """Return the route for announcements."""
        return [web.post("/announce", self.announce)]

    async def announce(self, request: web.Request) -> web.Response:
        """Handle one announcement; targets repeat it every second."""
        body = await read_body(request)
        if body is None:
            return bad_input_response(
                "slow_body", refuse(BAD_REQUEST, "The body came too slowly.")
            )
        try:
            announcement = decode_announcement(body)
        except BadBody as error:
            return bad_input_response(error.reason, refuse(BAD_REQUEST, str(error)))
        reply = asyncio.get_running_loop().create_future()
        if not self.executor.post(local.AnnounceTarget(announcement, reply)):
            return answer_response("", refuse(QUEUE_FULL))
        problem = await reply
        status = 200 if problem is None else 409
        answer = {"taken": problem is None, "message": problem or ""}
        return web.Response(
            body=msgspec.json.encode(answer), status=status, content_type=JSON_TYPE
        )
