"""Counters of messages and bytes per link of one assigner, in both directions."""

from dataclasses import dataclass, field

LINKS = ("relay_calls", "event_stream", "discovery", "probes", "collectors")


@dataclass(slots=True)
class LinkCounter:
    """Messages and application bytes on one kind of link, counted at the fake peer."""

    bytes_from_assigner: int = 0
    bytes_to_assigner: int = 0
    messages_from_assigner: int = 0
    messages_to_assigner: int = 0

    def received(self, size, messages=1):
        """Counts bytes and messages from the assigner."""
        self.bytes_from_assigner += size
        self.messages_from_assigner += messages

    def sent(self, size, messages=1):
        """Counts bytes and messages to the assigner."""
        self.bytes_to_assigner += size
        self.messages_to_assigner += messages

    def since(self, earlier):
        """The difference to an earlier count."""
        return LinkCounter(
            self.bytes_from_assigner - earlier.bytes_from_assigner,
            self.bytes_to_assigner - earlier.bytes_to_assigner,
            self.messages_from_assigner - earlier.messages_from_assigner,
            self.messages_to_assigner - earlier.messages_to_assigner,
        )


@dataclass(slots=True)
class Traffic:
    """One counter per link."""

    relay_calls: LinkCounter = field(default_factory=LinkCounter)
    event_stream: LinkCounter = field(default_factory=LinkCounter)
    discovery: LinkCounter = field(default_factory=LinkCounter)
    probes: LinkCounter = field(default_factory=LinkCounter)
    collectors: LinkCounter = field(default_factory=LinkCounter)

    def since(self, earlier):
        """The difference to an earlier count, link by link."""
        return Traffic(*(getattr(self, link).since(getattr(earlier, link)) for link in LINKS))
