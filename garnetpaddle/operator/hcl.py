"""Reads HCL as blocks with line numbers. Parses with python-hcl2, and accepts only literal values."""

from dataclasses import dataclass, field

import hcl2
from lark import Token, Tree
from lark.exceptions import UnexpectedInput

ESCAPES = {"n": "\n", "r": "\r", "t": "\t", '"': '"', "\\": "\\"}


class InvalidHclError(ValueError):
    """The text is not HCL or uses unsupported parts of it. line: from 1; field: "file" if none is known."""

    def __init__(self, line, why, field="file"):
        super().__init__(why)
        self.line, self.why, self.field = line, why, field


@dataclass(frozen=True, slots=True)
class Block:
    """One block. kind: its type; attributes: name -> (value, line number); line: where it begins."""

    kind: str
    labels: tuple[str, ...]
    line: int
    attributes: dict[str, tuple[object, int]] = field(default_factory=dict)


def blocks(text):
    """Returns the Blocks of a file's text, in order; raises InvalidHclError."""
    try:
        tree = hcl2.parses_to_tree(text if text.endswith("\n") else text + "\n")
    except UnexpectedInput as error:
        line = error.line if isinstance(getattr(error, "line", None), int) and error.line > 0 else 1
        raise InvalidHclError(
            min(line, text.count("\n") + 1), "invalid HCL: " + describe_unexpected(error)
        ) from None
    found = []
    for node in child_trees(tree, "body", "block", "attribute"):
        if node.data == "attribute":
            raise InvalidHclError(node.meta.line, f"{identifier(node)!r} must be inside a block")
        found.append(decode_block(node))
    return found


def describe_unexpected(error):
    """Describes the token that the parser did not expect."""
    token = getattr(error, "token", None)
    if token is None:
        return "unexpected text"
    return f"unexpected {str(token).strip() or 'end of line'!r:.40}"


def child_trees(tree, *kinds):
    """Yields child nodes of these kinds, including those of a nested body."""
    for child in tree.children:
        if isinstance(child, Tree) and child.data == "body":
            yield from child_trees(child, *kinds)
        elif isinstance(child, Tree) and child.data in kinds:
            yield child


def identifier(node):
    """Returns the identifier of a block or attribute node."""
    return next(
        str(t)
        for child in node.children
        if isinstance(child, Tree) and child.data == "identifier"
        for t in child.children
    )


def decode_block(node):
    """Decodes a block node to a Block; raises InvalidHclError."""
    head_nodes = [c for c in node.children if isinstance(c, Tree) and c.data in ("identifier", "string")]
    labels = tuple(decode_value(c) if c.data == "string" else str(c.children[0]) for c in head_nodes[1:])
    decoded = Block(identifier(node), labels, node.meta.line)
    for inner in child_trees(node, "block", "attribute"):
        if inner.data == "block":
            raise InvalidHclError(
                inner.meta.line, f"unknown block {identifier(inner)!r} inside {decoded.kind!r}"
            )
        key = identifier(inner)
        if key in decoded.attributes:
            raise InvalidHclError(
                inner.meta.line, f"{key!r} is set twice; first at line {decoded.attributes[key][1]}"
            )
        try:
            decoded.attributes[key] = decode_value(inner.children[-1]), inner.meta.line
        except InvalidHclError as error:
            raise InvalidHclError(error.line, error.why, ".".join((decoded.kind, *labels, key))) from None
    return decoded


def decode_value(node):
    """Decodes a string, number, boolean or list; raises InvalidHclError if evaluation is needed."""
    if isinstance(node, Token):
        raise InvalidHclError(node.line, f"{str(node)!r:.40} is not a literal value")
    inner = [c for c in node.children if isinstance(c, Tree)]
    match node.data:
        case "expr_term" if len(inner) == 1 and len(node.children) == 1:
            return decode_value(inner[0])
        case "string" if all(part.data == "string_part" for part in inner):
            return "".join(decode_string_part(part) for part in inner)
        case "unary_op" if str(node.children[0]) == "-" and len(inner) == 1:
            if isinstance(operand := decode_value(inner[0]), int | float):
                return -operand
        case "int_lit":
            return int("".join(map(str, node.children)))
        case "float_lit":
            return float("".join(map(str, node.children)))
        case "literal_value" if (literal := str(node.children[0])) in ("true", "false"):
            return literal == "true"
        case "tuple":
            return [decode_value(c) for c in inner if c.data != "new_line_or_comment"]
    raise InvalidHclError(node.meta.line, "only strings, numbers, true, false and lists of these are allowed")


def decode_string_part(part):
    """Decodes a part of a string, with its escape sequences."""
    text = "".join(str(t) for t in part.children if isinstance(t, Token))
    if any(isinstance(t, Tree) for t in part.children):
        raise InvalidHclError(part.meta.line, "only literal strings are allowed, without ${...}")
    decoded_characters, characters = [], iter(text)
    for character in characters:
        decoded_characters.append(ESCAPES.get(next(characters, ""), "?") if character == "\\" else character)
    return "".join(decoded_characters)
