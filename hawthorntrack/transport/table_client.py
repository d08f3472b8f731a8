"""HTTP client of the platform's table service."""

import asyncio

import aiohttp
import msgspec

from hawthorntrack.protocol.bodies import (
    RowBody,
    RowsBody,
    WriteAnswerBody,
    WriteBody,
)
from hawthorntrack.state.metrics import TABLE_CALLS
from hawthorntrack.state.naming import exposed_name
from hawthorntrack.state.settings import Settings
from hawthorntrack.state.table import (
    ABSENT,
    Conflict,
    ReadOutcome,
    ReadResult,
    Row,
    TableUnavailable,
    WriteOutcome,
    WriteOutcomeUnknown,
    Written,
    tables,
)
from hawthorntrack.state.token_bucket import TokenBucket

CALL_ERRORS = (
    aiohttp.ClientError,
    TimeoutError,
    # Malformed answers, and hosts that the resolver cannot encode.
    ValueError,
    RecursionError,
    OSError,
)


def row_from_body(body: RowBody) -> Row:
    """Return the row that a body contains."""
    return Row(body["key"], body["version"], bytes(body["value"]))


@tables.register("http")
class HttpTable:
    """Client of the table service, limited to a number of calls per second.

    Explanation
    -----------
    A write without a usable answer gives `WriteOutcomeUnknown` and is not retried here.
    The caller determines the outcome by reading the row.

    Parameters
    ----------
    url : str
        Base URL of the service.
    timeout_s : float
        Time limit of one call, in seconds.
    reads_per_s, writes_per_s : int
        Limits on this process's calls per second.
    """

    def __init__(
        self, url: str, timeout_s: float, reads_per_s: int, writes_per_s: int
    ) -> None:
        self.url = url
        self.timeout = aiohttp.ClientTimeout(total=timeout_s)
        self.read_budget = TokenBucket(reads_per_s, reads_per_s)
        self.write_budget = TokenBucket(writes_per_s, writes_per_s)
        self.session: aiohttp.ClientSession | None = None

    def get_session(self) -> aiohttp.ClientSession:
        """Return the HTTP session, which the first call opens."""
        if self.session is None:
            self.session = aiohttp.ClientSession(timeout=self.timeout)
        return self.session

    async def close(self) -> None:
        """Close the connections."""
        if self.session is not None:
            await self.session.close()

    async def acquire(self, bucket: TokenBucket) -> None:
        """Wait until the rate limit allows another call, and take its token."""
        loop = asyncio.get_running_loop()
        while (wait_s := bucket.wait_s(loop.time())) > 0:
            await asyncio.sleep(wait_s)
        bucket.take(loop.time())

    async def read(self, prefix: str, after: int = ABSENT) -> ReadOutcome:
        """Read the rows with a key prefix that changed after version `after`."""
        await self.acquire(self.read_budget)
        try:
            async with self.get_session().get(
                f"{self.url}/rows", params={"prefix": prefix, "after": after}
            ) as response:
                response.raise_for_status()
                body = msgspec.json.decode(await response.read(), type=RowsBody)
        except CALL_ERRORS as error:
            TABLE_CALLS.labels(call="read", outcome="unavailable").inc()
            return TableUnavailable(error_text(error))
        TABLE_CALLS.labels(call="read", outcome="found").inc()
        return ReadResult(
            tuple(row_from_body(row) for row in body["rows"]), body["total"]
        )

    async def write(self, key: str, expect: int, value: bytes | None) -> WriteOutcome:
        """Write a row if its version is `expect`; the value None deletes it."""
        await self.acquire(self.write_budget)
        body: WriteBody = {"expect": expect}
        if value is not None:
            body["value"] = msgspec.Raw(value)
        try:
            async with self.get_session().put(
                f"{self.url}/rows/{key}", data=msgspec.json.encode(body)
            ) as response:
                if response.status not in (200, 409):
                    response.raise_for_status()
                    raise aiohttp.ClientError(f"status {response.status}")
                answer = msgspec.json.decode(
                    await response.read(), type=WriteAnswerBody
                )
        except CALL_ERRORS as error:
            TABLE_CALLS.labels(call="write", outcome="unsettled").inc()
            return WriteOutcomeUnknown(error_text(error))
        outcome = write_outcome(response.status, answer)
        TABLE_CALLS.labels(
            call="write", outcome=exposed_name(type(outcome)).lower()
        ).inc()
        return outcome


def write_outcome(status: int, answer: WriteAnswerBody) -> WriteOutcome:
    """Return the outcome of an answered write."""
    if status == 200:
        return Written(answer["version"])
    row = answer.get("row")
    return Conflict(row_from_body(row) if row else None)


def error_text(error: BaseException) -> str:
    """Return an error's message, or its type's name if the message is empty."""
    return str(error) or type(error).__name__


def table_from_settings(settings: Settings) -> HttpTable:
    """Return a table client for a process's settings."""
    return HttpTable(
        settings.table_url,
        settings.table_timeout_s,
        settings.reads_per_s,
        settings.writes_per_s,
    )
