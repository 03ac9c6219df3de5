"""SQL functions of the platform's group interface and of the stand-in's fault injection."""

from __future__ import annotations

import re
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from hickorywind.groups.status import REFUSED_SQLSTATE
from hickorywind.ids import LogPosition, Term
from standins.backend.errors import INVALID_TEXT, SqlError
from standins.backend.instance import Instance
from standins.backend.log import SqlValue
from standins.backend.member import RefusedError
from standins.backend.sql import Kind, ParsedStatement
from standins.backend.tokens import tokenize

_CALL = re.compile(
    r"^select\s+((?:platform|standin)_\w+)\s*\((.*)\)\s*(?:as\s+\w+)?\s*$", re.I | re.S
)


@dataclass(frozen=True)
class ControlCall:
    """Call of a control function: its name and its arguments as SQL text."""

    name: str
    arguments: tuple[str, ...]

    @classmethod
    def from_statement(cls, statement: ParsedStatement) -> ControlCall | None:
        """Parse a statement; return None if it does not call a control function."""
        match = _CALL.match(statement.original) if statement.kind is Kind.READ else None
        if match is None:
            return None
        texts = [t.text for t in tokenize(match.group(2)) if t.kind not in ("space", "cast")]
        return cls(match.group(1).lower(), tuple(text for text in texts if text != ","))

    @property
    def can_be_abandoned(self) -> bool:
        """Return whether the call has no effect, so that it may be cancelled while it waits."""
        return self.name == "platform_wait_committed"

    def values(self, parameters: Sequence[SqlValue]) -> list[SqlValue]:
        """Return the argument values; each argument is a literal or a ``$N`` parameter."""
        return [self._value(text, parameters) for text in self.arguments]

    @staticmethod
    def _value(text: str, parameters: Sequence[SqlValue]) -> SqlValue:
        if text.startswith("$"):
            return parameters[int(text[1:]) - 1]
        if text.startswith("'"):
            return text[1:-1].replace("''", "'")
        return text


async def run_control_call(
    instance: Instance, call: ControlCall, parameters: Sequence[SqlValue]
) -> str:
    """Run a control call and return the instance's status as JSON; raise ``SqlError``."""
    try:
        return await _dispatch(instance, call.name, call.values(parameters))
    except RefusedError as error:
        raise SqlError(REFUSED_SQLSTATE, str(error)) from error
    except (ValueError, IndexError, TypeError) as error:
        raise SqlError(INVALID_TEXT, f"bad arguments of {call.name}: {error}") from error


async def _dispatch(instance: Instance, name: str, values: list[SqlValue]) -> str:
    match name:
        case "platform_status":
            pass
        case "platform_wait_committed":
            position = LogPosition(Term(int(values[0])), int(values[1]))
            await instance.wait_committed(position, float(values[2]) / 1000)
        case "platform_accept_term":
            instance.member.accept_term(Term(int(values[0])), str(values[1]), float(values[2]))
        case "platform_promote":
            await instance.promote(Term(int(values[0])), str(values[1]))
        case "standin_set_lag":
            instance.apply_lag_ms = float(values[0])
            instance.member.ship_lag_ms = float(values[1])
            instance.change_signal.notify()
        case "standin_set_leaving":
            instance.leaving = _is_true(values[0])
        case _:
            raise SqlError("42883", f"function {name}() does not exist")
    return msgspec.json.encode(instance.status()).decode()


def _is_true(value: SqlValue) -> bool:
    return str(value).lower() in ("t", "true", "1")
