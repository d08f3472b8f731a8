"""Stand-in for the platform's table service, with faults that can be injected."""

import asyncio
from typing import NotRequired, TypedDict

import click
import msgspec
from aiohttp import web

from hawthorntrack.protocol.bodies import RowBody, WriteBody
from hawthorntrack.standins.serving import serve
from hawthorntrack.state.registry import Registry
from hawthorntrack.state.table import ABSENT, MemoryTable, Row, Written


class FaultBody(TypedDict):
    """The fault to inject from now on.

    Attributes
    ----------
    mode : str
        Name of a registered fault.
    delay_ms : int
        Delay of every answer, in milliseconds.
    late_ms : int
        Time from the arrival of a write with a lost answer until it takes effect, in
        milliseconds.
    """

    mode: str
    delay_ms: NotRequired[int]
    late_ms: NotRequired[int]


fault_modes: Registry[str] = Registry("table fault")
for mode in ("up", "down", "lose_answers"):
    fault_modes.register(mode)(mode)


class TableStandIn:
    """Serves a `MemoryTable` over HTTP, and counts the calls."""

    def __init__(self) -> None:
        self.table = MemoryTable()
        self.fault: FaultBody = {"mode": "up"}
        self.counts = {"reads": 0, "read_bytes": 0, "writes": 0, "refused": 0}

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the service, of fault injection and of the counts."""
        return [
            web.get("/rows", self.read),
            web.put("/rows/{key:.+}", self.write),
            web.post("/faults", self.set_fault),
            web.get("/stats", self.stats),
        ]

    async def apply_fault(self) -> web.Response | None:
        """Delay a call as the fault requires; return a refusal if the table is down."""
        await asyncio.sleep(self.fault.get("delay_ms", 0) / 1000)
        if self.fault["mode"] != "down":
            return None
        self.counts["refused"] += 1
        return web.Response(status=503, text="the table is down\n")

    async def read(self, request: web.Request) -> web.Response:
        """Return the rows with a key prefix that changed after a version."""
        refusal = await self.apply_fault()
        if refusal is not None:
            return refusal
        self.counts["reads"] += 1
        prefix, after = (request.query.get(name) for name in ("prefix", "after"))
        found = await self.table.read(prefix or "", int(after or ABSENT))
        body = {"rows": [row_body(row) for row in found.rows], "total": found.total}
        response = json_response(body)
        self.counts["read_bytes"] += len(response.body)
        return response

    async def write(self, request: web.Request) -> web.Response:
        """Carry out a conditional write; the fault `lose_answers` gives status 504."""
        refusal = await self.apply_fault()
        if refusal is not None:
            return refusal
        self.counts["writes"] += 1
        body = msgspec.json.decode(await request.read(), type=WriteBody)
        value = bytes(body["value"]) if "value" in body else None
        key = request.match_info["key"]
        if self.fault["mode"] == "lose_answers":
            await asyncio.sleep(self.fault.get("late_ms", 0) / 1000)
            self.table.apply(key, body["expect"], value)
            return web.Response(status=504, text="the answer is lost\n")
        outcome = self.table.apply(key, body["expect"], value)
        if isinstance(outcome, Written):
            return json_response({"version": outcome.version})
        row = row_body(outcome.row) if outcome.row else None
        return json_response({"row": row}, status=409)

    async def set_fault(self, request: web.Request) -> web.Response:
        """Set the fault to inject."""
        fault = msgspec.json.decode(await request.read(), type=FaultBody)
        if fault["mode"] not in fault_modes:
            return web.Response(status=400, text=f"modes: {fault_modes.names()}\n")
        self.fault = fault
        return json_response(fault)

    async def stats(self, request: web.Request) -> web.Response:
        """Return the counts of calls, and the bytes of the rows read."""
        return json_response(self.counts)


def row_body(row: Row) -> RowBody:
    """Return a row as a JSON body."""
    return {"key": row.key, "version": row.version, "value": msgspec.Raw(row.value)}


def json_response(body: object, status: int = 200) -> web.Response:
    """Return a JSON response."""
    return web.Response(
        body=msgspec.json.encode(body), status=status, content_type="application/json"
    )


@click.command()
@click.option("--address", required=True, help="ip:port to listen on")
def main(address: str) -> None:
    """Run the stand-in of the table service."""
    asyncio.run(serve(TableStandIn().routes(), address))


if __name__ == "__main__":
    main()
