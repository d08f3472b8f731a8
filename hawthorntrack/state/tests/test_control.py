"""A view only moves forward, and tells when it is too old to act on."""

from hypothesis import given
from hypothesis import strategies as st

from hawthorntrack.state.control_view import Config, ControlView, apply_config
from hawthorntrack.state.token_bucket import TokenBucket

configs = st.lists(
    st.tuples(st.integers(0, 30), st.lists(st.integers(1, 9), max_size=3))
)


@given(configs)
def test_view_never_goes_back(drawn):
    view = ControlView()
    for stamp, zones in drawn:
        config = Config(stamp, (), frozenset(str(zone) for zone in zones))
        after = apply_config(view, config)
        assert after.stamp == max(view.stamp, stamp)
        assert after.zones_out == (
            config.zones_out if stamp > view.stamp else view.zones_out
        )
        view = after


def test_document_below_the_one_known_is_not_taken(document):
    newer = document._replace(version=5)
    view = apply_config(ControlView(), Config(1, (newer,), frozenset()))
    view = apply_config(view, Config(2, (document,), frozenset()))
    assert view.documents["visits"].version == 5


def test_view_is_stale_after_a_freeze_but_not_in_an_outage():
    view = ControlView(last_success_at=10.0)
    assert view.is_fresh(12.0, 2.5)
    assert not view.is_fresh(20.0, 2.5)
    assert view._replace(last_failure_at=19.0).is_fresh(20.0, 2.5)


@given(st.lists(st.floats(0, 0.5), max_size=60))
def test_bucket_never_allows_more_than_rate_and_burst(gaps):
    bucket, now, taken = TokenBucket(10, 5), 0.0, 0
    for gap in gaps:
        now += gap
        taken += bucket.take(now)
    assert taken <= 5 + 10 * now + 1e-6
