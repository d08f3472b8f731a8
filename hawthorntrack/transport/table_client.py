"""The client of the platform's table service, over HTTP."""

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
    msgspec.DecodeError,
    RecursionError,
    OSError,
)


def row_from_body(body: RowBody) -> Row:
    """Return a row from its body."""
    return Row(body["key"], body["version"], bytes(body["value"]))


@tables.register("http")
class HttpTable:
    """The table over HTTP, within a budget of calls per second.

    Explanation
    -----------
    A write without an answer is `WriteOutcomeUnknown`, never retried here: whoever sent
    it
    knows how to settle it by reading back.

    Parameters
    ----------
    url : str
        Base address of the service.
    timeout_s : float
        Time for one call, in seconds.
    reads_per_s, writes_per_s : int
        The budget of this process.
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
        """Return the session, made at the first call."""
        if self.session is None:
            self.session = aiohttp.ClientSession(timeout=self.timeout)
        return self.session

    async def close(self) -> None:
        """Close the connections."""
        if self.session is not None:
            await self.session.close()

    async def acquire(self, bucket: TokenBucket) -> None:
        """Wait until the budget allows one more call."""
        loop = asyncio.get_running_loop()
        while (wait_s := bucket.wait_s(loop.time())) > 0:
            await asyncio.sleep(wait_s)
        bucket.take(loop.time())

    async def read(self, prefix: str, after: int = ABSENT) -> ReadOutcome:
        """Return rows whose key starts with `prefix`, changed after a version."""
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
        """Write a row if its version is `expect`; None deletes it."""
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
    """Return the outcome of a write that was answered."""
    if status == 200:
        return Written(answer["version"])
    row = answer.get("row")
    return Conflict(row_from_body(row) if row else None)


def error_text(error: BaseException) -> str:
    """Return an error in words; some carry none of their own."""
    return str(error) or type(error).__name__


def table_from_settings(settings: Settings) -> HttpTable:
    """Return the table client of some settings."""
    return HttpTable(
        settings.table_url,
        settings.table_timeout_s,
        settings.reads_per_s,
        settings.writes_per_s,
    )
