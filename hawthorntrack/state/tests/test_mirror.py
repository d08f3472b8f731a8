"""A mirror is the table's rows, or says that it can't be."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from hawthorntrack.state.mirror import Mirror, merge
from hawthorntrack.state.table import MemoryTable

keys = st.sampled_from(["p/a", "p/b", "p/c", "q/a"])
steps = st.lists(
    st.one_of(
        st.tuples(st.just("write"), keys),
        st.tuples(st.just("delete"), keys),
        st.tuples(st.just("read"), st.integers(0, 3)),
    ),
    max_size=40,
)


def change(table, key, value):
    row = table.rows.get(key)
    table.apply(key, row.version if row else 0, value)


def read(table, after):
    return asyncio.run(table.read("p/", after))


def held_now(table):
    return {key: row for key, row in table.rows.items() if key.startswith("p/")}


@given(steps)
def test_merged_mirror_is_what_the_table_holds(drawn):
    table, mirror = MemoryTable(), Mirror()
    for number, (step, detail) in enumerate(drawn):
        if step == "write":
            change(table, detail, str(number).encode())
        elif step == "delete" and detail in table.rows:
            change(table, detail, None)
        elif step == "read":
            found = read(table, mirror.version)
            merged = merge(mirror, found.rows, found.total)
            if merged is None:
                found = read(table, 0)
                merged = merge(Mirror(), found.rows, found.total)
            mirror = merged.mirror
            assert mirror.rows == held_now(table)


@given(steps)
def test_answers_that_come_late_never_take_a_row_back(drawn):
    table, mirror, late = MemoryTable(), Mirror(), []
    for number, (step, detail) in enumerate(drawn):
        if step == "write":
            change(table, detail, str(number).encode())
        elif step == "read":
            late.append(read(table, mirror.version))
            found = late.pop(detail % len(late))
            merged = merge(mirror, found.rows, found.total)
            before = mirror
            mirror = merged.mirror if merged else mirror
            assert all(
                mirror.rows[k].version >= r.version for k, r in before.rows.items()
            )
            assert mirror.version >= before.version
