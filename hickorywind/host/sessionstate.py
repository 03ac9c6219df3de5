"""Session values and prepared statements that a backend connection is known to hold."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from hickorywind.ids import AccessMode
from hickorywind.ports.codecs import BackendCodec
from hickorywind.ports.replies import NOT_RUN_ERROR_KINDS, Answer, BackendError


@dataclass(frozen=True, slots=True)
class StatementTemplate:
    """Template of a prepared statement.

    Each backend connection has names of its own for templates, so that sessions with different
    names for one can share the connection.
    """

    mode: AccessMode
    text: str

    @property
    def is_write(self) -> bool:
        """Whether the statement writes."""
        return self.mode is AccessMode.WRITE


@dataclass(frozen=True, slots=True)
class ResetStep:
    """Reset of all session values and prepared statements."""


@dataclass(frozen=True, slots=True)
class SetStep:
    """Assignment of one session value."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class PrepareStep:
    """Preparation of one statement under a name of the connection."""

    name: str
    template: StatementTemplate


SetupStep = ResetStep | SetStep | PrepareStep


@dataclass(slots=True)
class SessionState:
    """Session state of a backend connection, as the server's answers have confirmed it.

    A value is None if the server may hold any. ``is_certain`` is False after a statement that may
    or may not have changed the state; the next setup then begins with a reset.
    """

    values: dict[str, str | None] = field(default_factory=dict)
    names: dict[StatementTemplate, str] = field(default_factory=dict)
    is_certain: bool = True
    _last_number: int = 0

    def plan(
        self, values: Mapping[str, str], template: StatementTemplate | None
    ) -> list[SetupStep]:
        """Return the steps that give the connection a session's values and statement."""
        steps: list[SetupStep] = []
        held, names = self.values, self.names
        if self._needs_reset(values):
            steps.append(ResetStep())
            held, names = {}, {}
        steps += [SetStep(name, value) for name, value in values.items() if held.get(name) != value]
        if template is not None and template not in names:
            # Never a name from before, which an unconfirmed preparation may have taken.
            self._last_number += 1
            steps.append(PrepareStep(f"p{self._last_number}", template))
        return steps

    def record_answers(
        self, steps: Sequence[SetupStep], answers: Sequence[Answer]
    ) -> BackendError | None:
        """Apply the steps that the server confirmed; return its first refusal or failure."""
        first_error = None
        for step, answer in zip(steps, answers, strict=True):
            if answer.error is None:
                self._apply(step)
                continue
            first_error = first_error or answer.error
            if answer.error.kind not in NOT_RUN_ERROR_KINDS:
                self.doubt()
        return first_error

    def doubt(self) -> None:
        """Record that the server may hold another state, so that the next setup resets it."""
        self.is_certain = False

    def forget(self, steps: Sequence[SetupStep]) -> None:
        """Allow for a server that has undone steps with the transaction that they ran in."""
        for step in steps:
            match step:
                case ResetStep():
                    self.doubt()
                case SetStep(name, _):
                    self.values[name] = None
                case PrepareStep(_, template):
                    self.names.pop(template, None)

    def cost(self, values: Mapping[str, str]) -> int:
        """Return the relative effort of giving the connection a session's values."""
        if self._needs_reset(values):
            return 2 + len(self.names)  # a reset drops the prepared statements
        return 0 if self.values == values else 1

    def _needs_reset(self, values: Mapping[str, str]) -> bool:
        return not self.is_certain or not self.values.keys() <= values.keys()

    def _apply(self, step: SetupStep) -> None:
        match step:
            case ResetStep():
                self.values, self.names, self.is_certain = {}, {}, True
            case SetStep(name, value):
                self.values[name] = value
            case PrepareStep(name, template):
                self.names[template] = name


def encode_steps(codec: BackendCodec, steps: Sequence[SetupStep]) -> bytes:
    """Encode the statements that carry out the steps of a setup."""
    return b"".join(_encode_step(codec, step) for step in steps)


def _encode_step(codec: BackendCodec, step: SetupStep) -> bytes:
    match step:
        case ResetStep():
            return codec.encode_reset()
        case SetStep(name, value):
            return codec.encode_set(name, value)
        case PrepareStep(name, template):
            return codec.encode_prepare(name, template.is_write, template.text)
