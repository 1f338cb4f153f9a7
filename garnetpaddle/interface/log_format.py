"""The text form of events, orders and parameters in --trace output and in event logs."""


class LogFormat:
    """Writes instances under the names in `logged_as` and `logged_fields`, in the order of the fields.

    Tools read these lines, so the names stay when a class or a field is renamed.
    """

    __slots__ = ()
    logged_as = ""
    logged_fields = ()

    def __repr__(self):
        fields = zip(self.logged_fields, self.__match_args__, strict=True)
        values = ", ".join(f"{logged}={getattr(self, name)!r}" for logged, name in fields)
        return f"{self.logged_as}({values})"
