"""A block of HCL as typed values, whatever file it stands in; each fault with its place and what is right."""

import inspect
import math
import typing
from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class Fault:
    file: str
    line: int
    field: str
    why: str

    def __str__(self):
        return f"{self.file}:{self.line}: {self.field}: {self.why}"


class Faulty(ValueError):
    """A file's faults, all of them."""

    def __init__(self, faults):
        super().__init__("\n".join(map(str, faults)))
        self.faults = tuple(faults)


def title(block):
    return ".".join((block.kind, *block.labels))


def values(path, block, kind, faults):
    """A block's attributes as the fields of a msgspec struct, but for `name`, which labels give. Adds a Fault
    for each that is missing, unknown or of another type."""
    found, given = {}, dict(block.attributes)
    hints = inspect.get_annotations(kind, eval_str=True)
    for field in msgspec.structs.fields(kind):
        where = f"{title(block)}.{field.name}"
        if field.name == "name":
            continue
        if field.name not in given:
            if field.required:
                faults.append(Fault(path, block.line, where, "is missing"))
            continue
        value, line = given.pop(field.name)
        try:
            found[field.name] = msgspec.convert(value, hints[field.name])
        except msgspec.ValidationError as error:
            hint = hints[field.name]
            words = typing.get_args(hint) if typing.get_origin(hint) is typing.Literal else ()
            quoted = ", ".join(f'"{word}"' for word in words)
            why = f"one of {quoted} is wanted" if words else str(error)
            faults.append(Fault(path, line, where, f"{value!r:.40}: {why}"))
        else:
            if isinstance(value, float) and not math.isfinite(value):
                faults.append(Fault(path, line, where, "no finite number"))
    known = ", ".join(f.name for f in msgspec.structs.fields(kind) if f.name != "name")
    for key, (_, line) in given.items():
        faults.append(Fault(path, line, f"{title(block)}.{key}", f"no such field; known are {known}"))
    return found
