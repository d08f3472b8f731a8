"""A control view keeps the newest configuration; a token bucket limits a rate."""

from hypothesis import given
from hypothesis import strategies as st

from hawthorntrack.state.control_view import Config, ControlView, apply_config
from hawthorntrack.state.token_bucket import TokenBucket

configs = st.lists(
    st.tuples(st.integers(0, 30), st.lists(st.integers(1, 9), max_size=3))
)


@given(configs)
def test_older_configuration_never_replaces_a_newer_one(drawn_configs):
    view = ControlView()
    for stamp, zones in drawn_configs:
        config = Config(stamp, (), frozenset(str(zone) for zone in zones))
        updated = apply_config(view, config)
        assert updated.stamp == max(view.stamp, stamp)
        assert updated.zones_out == (
            config.zones_out if stamp > view.stamp else view.zones_out
        )
        view = updated


def test_older_document_does_not_replace_a_newer_one(document):
    newer = document._replace(version=5)
    view = apply_config(ControlView(), Config(1, (newer,), frozenset()))
    view = apply_config(view, Config(2, (document,), frozenset()))
    assert view.documents["visits"].version == 5


def test_view_is_stale_after_a_freeze_but_not_during_a_table_outage():
    view = ControlView(last_success_at=10.0)
    assert view.is_fresh(12.0, 2.5)
    assert not view.is_fresh(20.0, 2.5)
    assert view._replace(last_failure_at=19.0).is_fresh(20.0, 2.5)


@given(st.lists(st.floats(0, 0.5), max_size=60))
def test_bucket_never_allows_more_than_rate_and_burst(intervals_s):
    bucket, now, taken_tokens = TokenBucket(10, 5), 0.0, 0
    for interval_s in intervals_s:
        now += interval_s
        taken_tokens += bucket.take(now)
    assert taken_tokens <= 5 + 10 * now + 1e-6
