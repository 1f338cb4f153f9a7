"""Parsing of enumerated values and durations."""

TENTHS_OF_MS_PER_SECOND = 10_000


class UnknownValueError(ValueError):
    """A field has a value that its enumeration does not contain."""

    def __init__(self, field, value):
        super().__init__(f"field {field}: unknown value {value!r}")


def lookup(table, value, field):
    """table[value]; raises UnknownValueError, which names the field, if there is no such entry."""
    if value not in table:
        raise UnknownValueError(field, value)
    return table[value]


def seconds_to_tenths_of_ms(seconds):
    """Seconds, rounded to an integer in tenths of a millisecond; None counts as 0."""
    return int((seconds or 0.0) * TENTHS_OF_MS_PER_SECOND + 0.5)
