"""A renamed class keeps the name that is shown in metrics and logs."""

from typing import NamedTuple

from hawthorntrack.state.actor import Actor
from hawthorntrack.state.naming import exposed_name


class Plain:
    pass


class RenamedTuple(NamedTuple):
    value: int

    exposed_name = "Old"


class Renamed:
    exposed_name = "Old"


class Derived(Renamed):
    pass


class RenamedActor(Actor):
    exposed_name = "OldActor"


def test_exposed_name_is_the_attribute_of_the_class_itself():
    assert exposed_name(Plain) == "Plain"
    assert exposed_name(RenamedTuple) == "Old"
    assert RenamedTuple._fields == ("value",)
    assert exposed_name(Renamed) == "Old"
    assert exposed_name(Derived) == "Derived"


def test_unhandled_message_is_logged_under_exposed_names(monkeypatch):
    logged = []
    monkeypatch.setattr(
        "hawthorntrack.state.actor.log_message",
        lambda event, **fields: logged.append((event, fields)),
    )
    actor = RenamedActor()
    for body in (Plain(), RenamedTuple(1), 1):
        actor.handle(body)
    assert actor.mailbox.owner == "OldActor"
    assert [fields["actor"] for _, fields in logged] == ["OldActor"] * 3
    assert [fields["type"] for _, fields in logged] == [
        str(Plain),
        f"<class '{__name__}.Old'>",
        "<class 'int'>",
    ]
