"""Words and times that both wires share a reading of."""


class Unknown(ValueError):
    """A word that has no meaning in its field."""

    def __init__(self, field, value):
        super().__init__(f"field {field}: unknown value {value!r}")


def word(table, value, field):
    if value not in table:
        raise Unknown(field, value)
    return table[value]


def tenths(seconds):
    return int((seconds or 0.0) * 10_000 + 0.5)
