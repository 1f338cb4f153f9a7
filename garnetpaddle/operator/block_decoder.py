"""Decodes HCL blocks into typed values. Diagnostics give the position and the expected value."""

import inspect
import math
import typing
from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class Diagnostic:
    """One mistake in a file. line: its position, from 1; field: with its block, such as "dfp.a.listen"."""

    file: str
    line: int
    field: str
    why: str

    def __str__(self):
        return f"{self.file}:{self.line}: {self.field}: {self.why}"


class InvalidFileError(ValueError):
    """A file has mistakes; carries all of its diagnostics."""

    def __init__(self, diagnostics):
        super().__init__("\n".join(map(str, diagnostics)))
        self.diagnostics = tuple(diagnostics)


def block_title(block):
    """Returns a block's kind and labels, as diagnostics name it."""
    return ".".join((block.kind, *block.labels))


def decode_attributes(path, block, kind, diagnostics):
    """Decodes a block's attributes as the fields of a msgspec struct, except `name`, which comes from the
    label; returns field -> value.

    kind: the struct. Adds to `diagnostics` one for each field that is missing, unknown or invalid."""
    values, attributes = {}, dict(block.attributes)
    types = inspect.get_annotations(kind, eval_str=True)
    for field in msgspec.structs.fields(kind):
        where = f"{block_title(block)}.{field.name}"
        if field.name == "name":
            continue
        if field.name not in attributes:
            if field.required:
                diagnostics.append(Diagnostic(path, block.line, where, "is missing"))
            continue
        value, line = attributes.pop(field.name)
        try:
            values[field.name] = msgspec.convert(value, types[field.name])
        except msgspec.ValidationError as error:
            diagnostics.append(
                Diagnostic(path, line, where, describe_wrong_type(value, types[field.name], error))
            )
        else:
            if isinstance(value, float) and not math.isfinite(value):
                diagnostics.append(Diagnostic(path, line, where, "must be finite"))
    known = ", ".join(f.name for f in msgspec.structs.fields(kind) if f.name != "name")
    for key, (_, line) in attributes.items():
        diagnostics.append(
            Diagnostic(path, line, f"{block_title(block)}.{key}", f"unknown field; known fields: {known}")
        )
    return values


def describe_wrong_type(value, expected_type, error):
    """Describes why a value is invalid and what is expected."""
    choices = typing.get_args(expected_type) if typing.get_origin(expected_type) is typing.Literal else ()
    quoted_choices = ", ".join(f'"{choice}"' for choice in choices)
    why = f"expected one of {quoted_choices}" if choices else str(error)
    return f"{value!r:.40}: {why}"
