"""Writes of a document whose answers are lost, or that several operators make."""

import asyncio

import pytest

from hawthorntrack.cli.context import CommandError, Context
from hawthorntrack.cli.documents import read_stored, write_next_version
from hawthorntrack.experiment.layout import deployments, document_body
from hawthorntrack.state.table import MemoryTable, WriteOutcomeUnknown

BODY = document_body(deployments["jardim"])


class AnswerLosingTable(MemoryTable):
    """A table that loses the answers to the first writes of a document.

    `applied` states whether these writes take effect.
    """

    def __init__(self, answers_to_lose, applied):
        super().__init__()
        self.answers_to_lose = answers_to_lose
        self.applied = applied

    async def write(self, key, expect, value):
        if self.answers_to_lose and key.startswith("config/"):
            self.answers_to_lose -= 1
            if self.applied:
                self.apply(key, expect, value)
            return WriteOutcomeUnknown("the answer was lost")
        return self.apply(key, expect, value)


@pytest.fixture
def context():
    memory_context = Context("http://127.0.0.1:1", "production", True, 1.0)
    memory_context.table = MemoryTable()
    return memory_context


async def write_after_one_read(context, writers):
    before = await read_stored(context, "production", BODY["service"])
    return await asyncio.gather(
        *(
            write_next_version(context, "production", before, BODY)
            for _ in range(writers)
        ),
        return_exceptions=True,
    )


def test_concurrent_writes_of_equal_documents_conflict(context):
    outcomes = asyncio.run(write_after_one_read(context, 3))
    assert outcomes[0] == 1
    assert [error.kind for error in outcomes[1:]] == ["conflict", "conflict"]


@pytest.mark.parametrize("applied", [True, False])
def test_write_with_lost_answers_succeeds(context, applied):
    context.table = AnswerLosingTable(2, applied)
    assert asyncio.run(write_after_one_read(context, 1)) == [1]


def test_lost_answers_do_not_let_two_writers_succeed(context):
    context.table = AnswerLosingTable(2, applied=True)
    outcomes = asyncio.run(write_after_one_read(context, 2))
    conflicts = [error for error in outcomes if isinstance(error, CommandError)]
    assert (outcomes.count(1), len(conflicts)) == (1, 1)
