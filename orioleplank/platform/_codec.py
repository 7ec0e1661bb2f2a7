"""Text format of the platform's line protocol: statements, error codes, positions, states."""

from __future__ import annotations

from types import MappingProxyType

from orioleplank.decision import Position
from orioleplank.decision.session import (
    AccessMode,
    Begin,
    ClosePrepared,
    Commit,
    ConnectionSetupStep,
    ExecutableStatement,
    Execute,
    ExecutePrepared,
    FailureCode,
    Prepare,
    PreparedStatement,
    PrepareOnConnection,
    Read,
    ResetConnection,
    Rollback,
    SetConnectionValue,
    SetValue,
    Statement,
    TransactionState,
    Unreadable,
    Write,
)

# Latin-1 maps every byte to one character and back, so text of any encoding passes unchanged.
ENCODING = "latin-1"
# Maximum length of a message without its line end.
MAX_MESSAGE_BYTES = 1024 * 1024
# Request id of statements that the proxy issues on its own behalf.
PROXY_REQUEST_ID = "-"
# Such a number fits into 64 bits.
MAX_NUMBER_DIGITS = 18
# Written instead of a position if there is none.
NO_POSITION = "-"

WIRE_CODES = MappingProxyType(
    {
        FailureCode.BUSY: "BUSY",
        FailureCode.ABORTED: "ABORTED",
        FailureCode.LAGGING: "LAGGING",
        FailureCode.READ_ONLY: "READONLY",
        FailureCode.WRONG_INSTANCE: "WRONGNODE",
        FailureCode.CONNECTION_LIMIT: "CONNLIMIT",
        FailureCode.IN_DOUBT: "INDOUBT",
        FailureCode.TIMEOUT: "TIMEOUT",
        FailureCode.EXECUTION_FAILED: "EXECFAIL",
        FailureCode.UNKNOWN_NAME: "NOSTMT",
        FailureCode.UNKNOWN_DATABASE: "NODB",
        FailureCode.UNAUTHENTICATED: "AUTHFAIL",
        FailureCode.TOO_LARGE: "TOOBIG",
        FailureCode.MALFORMED: "MALFORMED",
        FailureCode.UNKNOWN: "INDOUBT",
    }
)
_CODES = MappingProxyType(
    {word: code for code, word in WIRE_CODES.items() if code is not FailureCode.UNKNOWN}
)
STATE_LETTERS = MappingProxyType(
    {TransactionState.IDLE: "I", TransactionState.OPEN: "T", TransactionState.FAILED: "E"}
)
_STATES = MappingProxyType({letter: state for state, letter in STATE_LETTERS.items()})
_MODES = MappingProxyType({"READ": AccessMode.READ, "WRITE": AccessMode.WRITE})


def parse_statement(text: str) -> Statement:
    """Parse the text of a caller's query; return `Unreadable` if it is invalid."""
    verb, _, rest = text.partition(" ")
    match verb:
        case "BEGIN" if rest in ("", "READ"):
            return Begin(rest == "READ")
        case "COMMIT" if not rest:
            return Commit()
        case "ROLLBACK" if not rest:
            return Rollback()
        case "READ" if rest:
            return Read(rest)
        case "WRITE" if rest:
            return Write(rest)
        case "SET" if rest:
            return _parse_set(rest)
        case "PREPARE" if rest:
            return _parse_prepare(rest)
        case "EXECUTE" if rest:
            name, _, arguments = rest.partition(" ")
            return Execute(name, arguments)
        case "CLOSE" if rest:
            return ClosePrepared(rest)
    return Unreadable(f"unknown statement {verb[:20]}")


def _parse_set(rest: str) -> Statement:
    name, separator, value = rest.partition(" ")
    if not name or not separator:
        return Unreadable("SET takes a name and a value")
    return SetValue(name, value)


def _parse_prepare(rest: str) -> Statement:
    fields = rest.split(" ", 2)
    if len(fields) < 3 or fields[1] not in _MODES:
        return Unreadable("PREPARE takes a name, READ or WRITE, and a shape")
    return Prepare(fields[0], PreparedStatement(_MODES[fields[1]], fields[2]))


def format_statement(statement: ExecutableStatement, prepared_name: str) -> str:
    """Return the text of a statement to run on an instance."""
    match statement:
        case Read(arguments):
            return f"READ {arguments}"
        case Write(arguments):
            return f"WRITE {arguments}"
        case ExecutePrepared(_, arguments):
            return f"EXECUTE {prepared_name} {arguments}"


def format_setup_step(step: ConnectionSetupStep) -> str:
    """Return the text of a statement that sets up the state of a connection."""
    match step:
        case ResetConnection():
            return "RESET"
        case SetConnectionValue(name, value):
            return f"SET {name} {value}"
        case PrepareOnConnection(name, prepared):
            return f"PREPARE {name} {prepared.mode.value.upper()} {prepared.text}"


def add_min_position(text: str, min_position: Position | None) -> str:
    """Prefix a statement with the log position that the instance must have reached, if any."""
    return text if min_position is None else f"AFTERLSN {format_position(min_position)} {text}"


def format_position(position: Position | None) -> str:
    """Return a position as TERM.INDEX, or a dash for `None`."""
    return NO_POSITION if position is None else f"{position.term}.{position.index}"


def parse_position(text: str) -> Position | None:
    """Parse TERM.INDEX; return `None` for any other text."""
    term_text, _, index_text = text.partition(".")
    term, index = parse_number(term_text), parse_number(index_text)
    return None if term is None or index is None else Position(term, index)


def parse_number(text: str) -> int | None:
    """Parse a number of at most `MAX_NUMBER_DIGITS` decimal digits; return `None` otherwise."""
    is_number = text.isascii() and text.isdecimal() and len(text) <= MAX_NUMBER_DIGITS
    return int(text) if is_number else None


def parse_code(word: str) -> FailureCode:
    """Parse an error code.

    Returns `FailureCode.UNKNOWN` for an unknown code, which leaves open whether the statement ran.
    """
    return _CODES.get(word, FailureCode.UNKNOWN)


def parse_state(letter: str) -> TransactionState | None:
    """Parse the letter of a transaction state; return `None` if it is unknown."""
    return _STATES.get(letter)
