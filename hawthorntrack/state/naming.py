"""Names of classes as shown in metrics, logs and registries."""

from functools import cache


@cache
def exposed_name(kind: type) -> str:
    """Return the name under which a class appears outside the process.

    Explanation
    -----------
    Metric labels and log fields must not change when a class is renamed. A renamed
    class therefore sets the class attribute `exposed_name` to its former name. The
    attribute is not inherited, so that a subclass is not mistaken for its base.

    Parameters
    ----------
    kind : type
        The class of a message, actor, verdict or outcome.

    Returns
    -------
    str
        The class's own attribute `exposed_name`, or its `__name__` without one.

    Examples
    --------
    >>> class Kept: ...
    >>> class Renamed:
    ...     exposed_name = "Former"
    >>> exposed_name(Kept), exposed_name(Renamed)
    ('Kept', 'Former')
    """
    return vars(kind).get("exposed_name", kind.__name__)
