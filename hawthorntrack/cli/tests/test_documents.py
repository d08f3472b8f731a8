"""A document's write tells its own effect from another operator's."""

import asyncio

import pytest

from hawthorntrack.cli.context import CommandError, Context
from hawthorntrack.cli.documents import read_stored, write_next_version
from hawthorntrack.experiment.layout import deployments, document_body
from hawthorntrack.state.table import MemoryTable, WriteOutcomeUnknown

BODY = document_body(deployments["jardim"])


class LosesAnswers(MemoryTable):
    """A table that loses the answers to its first writes of a document."""

    def __init__(self, lost, applied):
        super().__init__()
        self.lost = lost
        self.applied = applied

    async def write(self, key, expect, value):
        if self.lost and key.startswith("config/"):
            self.lost -= 1
            if self.applied:
                self.apply(key, expect, value)
            return WriteOutcomeUnknown("the answer was lost")
        return self.apply(key, expect, value)


@pytest.fixture
def context():
    made = Context("http://127.0.0.1:1", "production", True, 1.0)
    made.table = MemoryTable()
    return made


async def store_from_same_reading(context, count):
    before = await read_stored(context, "production", BODY["service"])
    return await asyncio.gather(
        *(
            write_next_version(context, "production", before, BODY)
            for _ in range(count)
        ),
        return_exceptions=True,
    )


def test_equal_documents_of_operators_who_race_are_not_one_write(context):
    outcomes = asyncio.run(store_from_same_reading(context, 3))
    assert outcomes[0] == 1
    assert [error.kind for error in outcomes[1:]] == ["conflict", "conflict"]


@pytest.mark.parametrize("applied", [True, False])
def test_lost_answer_is_settled_as_own_write(context, applied):
    context.table = LosesAnswers(2, applied)
    assert asyncio.run(store_from_same_reading(context, 1)) == [1]


def test_lost_answer_of_the_one_never_becomes_the_win_of_both(context):
    context.table = LosesAnswers(2, applied=True)
    outcomes = asyncio.run(store_from_same_reading(context, 2))
    conflicts = [error for error in outcomes if isinstance(error, CommandError)]
    assert (outcomes.count(1), len(conflicts)) == (1, 1)
