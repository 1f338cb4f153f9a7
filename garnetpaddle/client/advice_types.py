"""The advice as a client passes it to its user."""

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Weight:
    """The advice on one member.

    contact: the manager reaches the member; quiesced: send it no new calls; confident: the weight is learned,
    not a default."""

    host: str
    port: int
    label: str
    weight: int
    contact: bool = True
    quiesced: bool = False
    confident: bool = True


@dataclass(frozen=True, slots=True)
class Update:
    """A group's advice after a message.

    serial: counts this client's updates, from 1; at: time on its clock, in tenths of a ms."""

    group: str
    weights: tuple[Weight, ...]
    serial: int
    at: int
