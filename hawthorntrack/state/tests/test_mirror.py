"""A mirror equals the table's rows, or a merge reports that all must be read again."""

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


def write_row(table, key, value):
    row = table.rows.get(key)
    table.apply(key, row.version if row else 0, value)


def read_changes(table, after):
    return asyncio.run(table.read("p/", after))


def rows_in_table(table):
    return {key: row for key, row in table.rows.items() if key.startswith("p/")}


@given(steps)
def test_mirror_equals_the_table_after_each_read(drawn_steps):
    table, mirror = MemoryTable(), Mirror()
    for number, (step, detail) in enumerate(drawn_steps):
        if step == "write":
            write_row(table, detail, str(number).encode())
        elif step == "delete" and detail in table.rows:
            write_row(table, detail, None)
        elif step == "read":
            read_result = read_changes(table, mirror.version)
            merged = merge(mirror, read_result.rows, read_result.total)
            if merged is None:
                read_result = read_changes(table, 0)
                merged = merge(Mirror(), read_result.rows, read_result.total)
            mirror = merged.mirror
            assert mirror.rows == rows_in_table(table)


@given(steps)
def test_delayed_read_never_replaces_a_row_by_an_older_version(drawn_steps):
    table, mirror, pending_reads = MemoryTable(), Mirror(), []
    for number, (step, detail) in enumerate(drawn_steps):
        if step == "write":
            write_row(table, detail, str(number).encode())
        elif step == "read":
            pending_reads.append(read_changes(table, mirror.version))
            read_result = pending_reads.pop(detail % len(pending_reads))
            merged = merge(mirror, read_result.rows, read_result.total)
            before = mirror
            mirror = merged.mirror if merged else mirror
            assert all(
                mirror.rows[k].version >= r.version for k, r in before.rows.items()
            )
            assert mirror.version >= before.version
