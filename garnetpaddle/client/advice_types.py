"""The advice as a client passes it to its user."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Weight:
    """The advice on one member. quiesced: send it no new calls; confident: learned, not a default."""

    host: str
    port: int
    label: str
    weight: int
    contact: bool = True
    quiesced: bool = False
    confident: bool = True


@dataclass(frozen=True, slots=True)
class Update:
    """A group's advice after a message. serial: counts this client's updates; at: time on its clock."""

    group: str
    weights: tuple[Weight, ...]
    serial: int
    at: int
