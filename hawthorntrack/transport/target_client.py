"""HTTP client that runs tasks on the target beside this guard."""

import asyncio

import aiohttp
import msgspec

from hawthorntrack.protocol.bodies import RunBody
from hawthorntrack.protocol.local import (
    RunTask,
    SetConnections,
    StopTask,
    TargetAnswered,
)
from hawthorntrack.state.actor import Actor, handles
from hawthorntrack.state.mailbox import Mailbox
from hawthorntrack.state.values import Incarnation
from hawthorntrack.transport.connecting import address_errors

OUTPUT_MAX_BYTES = 1_000_000
CONNECT_TIMEOUT_S = 1.0


class TargetClient(Actor):
    """Runs tasks on the target; owns the connections to it.

    Explanation
    -----------
    If a connection breaks after the request was sent, the task may have run. This is
    reported as a failure, and the request is not sent again.

    Parameters
    ----------
    answers : Mailbox
        Receives a `TargetAnswered` for each `RunTask`.
    """

    def __init__(self, answers: Mailbox) -> None:
        super().__init__()
        self.answers = answers
        self.session: aiohttp.ClientSession | None = None
        self.calls: dict[tuple[str, str, int], asyncio.Task[None]] = {}

    @handles(SetConnections)
    def on_set_connections(self, change: SetConnections, sender: Incarnation) -> None:
        """Replace the HTTP session by one with this limit on connections."""
        if self.session is not None:
            self.spawn(self.session.close())
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=change.count, keepalive_timeout=30),
            timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        )

    @handles(RunTask)
    def on_run_task(self, task: RunTask, sender: Incarnation) -> None:
        """Start the call of a task and record it, so that `StopTask` can cancel it."""
        call = asyncio.get_running_loop().create_task(self.call(task))
        self.calls[task.name] = call
        self.spawned.add(call)
        call.add_done_callback(self.on_spawned_done)

    @handles(StopTask)
    def on_stop_task(self, stop: StopTask, sender: Incarnation) -> None:
        """Cancel the call; the target stops a task whose connection closes."""
        call = self.calls.get(stop.name)
        if call is not None:
            call.cancel()

    async def call(self, task: RunTask) -> None:
        """Run a task on the target and report its outcome."""
        started_at = self.now()
        try:
            ok, output, target_fault = await self.post(task)
        except aiohttp.ClientConnectorError as error:
            ok, output, target_fault = False, error_output("unreachable", error), True
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            ok, output, target_fault = False, error_output("broken", error), True
        except asyncio.CancelledError:
            ok, output, target_fault = False, b'"stopped"', False
        finally:
            self.calls.pop(task.name, None)
        run_ms = (self.now() - started_at) * 1000
        self.answers.put(TargetAnswered(task.name, ok, output, run_ms, target_fault))

    async def post(self, task: RunTask) -> tuple[bool, bytes, bool]:
        """Post a task to the target.

        Returns
        -------
        ok : bool
            Whether the task completed.
        output : bytes
            The task's output, or a description of its failure, as JSON.
        target_fault : bool
            Whether the failure counts against the target.
        """
        body: RunBody = {
            "key": task.key,
            "index": task.index,
            "kind": task.spec.kind,
            "size_ms": task.spec.size_ms,
            "input": msgspec.Raw(task.spec.input),
        }
        data = msgspec.json.encode(body)
        with address_errors("target", task.address):
            async with self.session.post(
                f"http://{task.address}/run", data=data
            ) as response:
                output = await response.content.read(OUTPUT_MAX_BYTES + 1)
                while len(output) <= OUTPUT_MAX_BYTES and not response.content.at_eof():
                    output += await response.content.read(OUTPUT_MAX_BYTES + 1)
                if len(output) > OUTPUT_MAX_BYTES:
                    return False, b'"output too large"', False
                if response.status != 200:
                    return False, as_json(output), response.status >= 500
        return is_json(output), as_json(output), False

    async def run(self) -> None:
        """Run tasks until cancelled, then close the connections."""
        try:
            await super().run()
        finally:
            if self.session is not None:
                await self.session.close()


def error_output(kind: str, error: BaseException) -> bytes:
    """Describe as JSON an error by which a call got no answer."""
    return msgspec.json.encode(f"{kind}: {error or type(error).__name__}")


def is_json(output: bytes) -> bool:
    """Return whether `output` is a JSON document."""
    try:
        msgspec.json.decode(output)
    except (msgspec.DecodeError, ValueError, RecursionError):
        return False
    return True


def as_json(output: bytes) -> bytes:
    """Return `output`, encoded as a JSON string if it is not JSON."""
    if is_json(output):
        return output
    return msgspec.json.encode(output[:200].decode("utf-8", "replace"))
