"""HTTP client of the platform's metadata store."""

import asyncio

import aiohttp

from hawthorntrack.platform.formats import Malformed, decode_page, encode_write
from hawthorntrack.state.directives import KeyRange, StoreRow
from hawthorntrack.state.metrics import TABLE_CALLS, labelled
from hawthorntrack.state.store import Changes, HistoryGone, StoreUnavailable
from hawthorntrack.transport.connecting import address_errors

CALL_TIMEOUT_S = 0.6  # a hundred times the store's usual response time
REASON_BY_STATUS = {429: "limited", 503: "busy"}
CALL_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, Malformed)
JSON_HEADERS = {"Content-Type": "application/json"}
KEEPALIVE_S = 60.0


class PlatformStore:
    """Client of the store at one address.

    Explanation
    -----------
    A call that times out closes its connection. A connection on which an answer was
    lost delivers nothing more, so later calls must not reuse it.

    Parameters
    ----------
    address : str
        ``host:port`` of the store.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(
                limit=4, keepalive_timeout=KEEPALIVE_S, use_dns_cache=False
            ),
            skip_auto_headers=("User-Agent", "Accept", "Accept-Encoding"),
        )

    async def call(
        self, method: str, path: str, timeout_s: float, **options: object
    ) -> tuple[int, bytes]:
        """Make one HTTP request; return its status and body."""
        url = f"http://{self.address}{path}"
        with address_errors("store", self.address):
            async with (
                asyncio.timeout(timeout_s),
                self.session.request(
                    method, url, allow_redirects=False, **options
                ) as response,
            ):
                return response.status, await response.read()

    async def read(
        self, table: str, keys: KeyRange = KeyRange()
    ) -> Changes | StoreUnavailable:
        """Read the rows of a table in a range of keys, page by page."""
        rows: list[StoreRow] = []
        start, version = keys.start, None
        while True:
            bounds = {"from": start, "target": keys.end}
            params = {"table": table, "part": ""} | {
                name: key for name, key in bounds.items() if key
            }
            try:
                status, body = await self.call(
                    "GET", "/v1/rows-get", CALL_TIMEOUT_S, params=params
                )
                if status != 200:
                    return self.unavailable("read", status)
                page, more = decode_page(body)
            except CALL_ERRORS as error:
                return self.failed("read", error)
            # The result carries the first page's version, so that a watch from there
            # returns the rows that changed between two pages.
            version = page.version if version is None else version
            rows += page.rows
            if not more or not page.rows:
                labelled(TABLE_CALLS, "read", "ok").inc()
                return Changes(tuple(rows), version)
            start = page.rows[-1].key + "\0"

    async def read_row(
        self, table: str, key: str
    ) -> StoreRow | StoreUnavailable | None:
        """Read one row; return None if it does not exist."""
        params = {"table": table, "part": "", "from": key, "target": key + "\0"}
        try:
            status, body = await self.call(
                "GET", "/v1/rows-get", CALL_TIMEOUT_S, params=params
            )
            if status != 200:
                return self.unavailable("read_row", status)
            page, _ = decode_page(body)
        except CALL_ERRORS as error:
            return self.failed("read_row", error)
        labelled(TABLE_CALLS, "read_row", "ok").inc()
        return next((row for row in page.rows if row.key == key), None)

    async def watch(
        self, table: str, after: int, wait_s: float
    ) -> Changes | HistoryGone | StoreUnavailable:
        """Return the rows changed after a version, waiting for a change if none is."""
        params = {"table": table, "after": after, "wait_ms": round(wait_s * 1000)}
        try:
            status, body = await self.call(
                "GET", "/v1/rows-feed", wait_s + CALL_TIMEOUT_S, params=params
            )
            if status == 410:
                labelled(TABLE_CALLS, "watch", "gone").inc()
                return HistoryGone()
            if status != 200:
                return self.unavailable("watch", status)
            page, _ = decode_page(body)
        except CALL_ERRORS as error:
            return self.failed("watch", error)
        labelled(TABLE_CALLS, "watch", "ok").inc()
        return page

    async def put(self, table: str, key: str, value: bytes) -> StoreUnavailable | None:
        """Write one row unconditionally."""
        try:
            status, _ = await self.call(
                "POST",
                "/v1/rows-tx",
                CALL_TIMEOUT_S,
                data=encode_write(table, key, value),
                headers=JSON_HEADERS,
            )
        except CALL_ERRORS as error:
            return self.failed("put", error)
        if status != 200:
            return self.unavailable("put", status)
        labelled(TABLE_CALLS, "put", "ok").inc()
        return None

    def unavailable(self, call: str, status: int) -> StoreUnavailable:
        """Count and return the outcome of a call answered with an error status."""
        reason = REASON_BY_STATUS.get(status, f"status_{status}")
        labelled(TABLE_CALLS, call, reason).inc()
        return StoreUnavailable(reason)

    def failed(self, call: str, error: BaseException) -> StoreUnavailable:
        """Count and return the outcome of a call without a usable answer."""
        reason = "malformed" if isinstance(error, Malformed) else "unanswered"
        labelled(TABLE_CALLS, call, reason).inc()
        return StoreUnavailable(reason)

    async def close(self) -> None:
        """Close the connections."""
        await self.session.close()
