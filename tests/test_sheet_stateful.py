"""Hypothesis drives the sheet against a plain model of its rules."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from dotterelbridge.ids import Business
from dotterelbridge.ids import ItemKind
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import Revision
from dotterelbridge.ids import SheetNumber
from dotterelbridge.sheet.delta import DeltaHistory
from dotterelbridge.sheet.delta import apply_delta
from dotterelbridge.sheet.delta import compute_changes
from dotterelbridge.sheet.delta import pack_rows
from dotterelbridge.sheet.rows import EMPTY_SHEET
from dotterelbridge.sheet.rows import SheetRow
from dotterelbridge.sheet.state_machine import Sheet
from dotterelbridge.sheet.state_machine import SubmitCommand
from dotterelbridge.sheet.state_machine import SubmitState

CONTENTS = st.frozensets(
    st.tuples(st.sampled_from("abcdef"), st.sampled_from("123")), min_size=1
)


def make_rows(content) -> tuple[SheetRow, ...]:
    """Return the rows of a content: names with their versions."""
    versions = dict(sorted(content))
    return tuple(
        SheetRow(
            kind=ItemKind.MODEL,
            business=Business("liffeyside"),
            name=ItemName(name),
            version=version,
            memory_mb=1,
        )
        for name, version in sorted(versions.items())
    )


class SheetMachine(RuleBasedStateMachine):
    """Operators that race and send again; VMs that follow and lag."""

    def __init__(self) -> None:
        super().__init__()
        self.sheet = Sheet()
        self.history = DeltaHistory(3)
        self.sheet.on_accept(self._note)
        self.accepted: dict[int, tuple[str, int]] = {}
        self.rows = ()
        self.sheets = [EMPTY_SHEET]
        self.follower = EMPTY_SHEET
        self.commands = []

    @rule(
        number=st.integers(1, 30),
        content=CONTENTS,
        lag=st.sampled_from([None, 0, 0, 1, 2]),
    )
    def submit(self, number, content, lag):
        """Submit a whole sheet, or changes from a base that may lag."""
        rows = make_rows(content)
        digest = repr(rows)
        command = SubmitCommand(
            number=SheetNumber(number),
            digest=digest,
            rows_packed=pack_rows(rows),
        )
        if lag is not None:
            base = self.sheets[max(0, len(self.sheets) - 1 - lag)]
            command = SubmitCommand(
                number=SheetNumber(number),
                digest=digest,
                base=base.revision,
                changes=compute_changes(base.rows, rows),
            )
        self.commands.append((command, rows))
        self._submit(command, rows)

    @rule(choice=st.integers(min_value=0))
    def send_again(self, choice):
        """An earlier submission is committed once more."""
        if self.commands:
            self._submit(*self.commands[choice % len(self.commands)])

    @rule()
    def restore(self):
        """A follower of the log is brought up by a snapshot."""
        snapshot = self.sheet.take_snapshot()
        self.sheet = Sheet()
        self.sheet.restore_snapshot(snapshot)
        self.sheet.on_accept(self._note)

    @rule()
    def follow(self):
        """A VM without the log catches up, by deltas where it can."""
        deltas = self.history.find_after(self.follower.revision)
        if deltas is None:
            self.follower = self.sheet.current
            return
        for delta in deltas:
            self.follower = apply_delta(self.follower, delta)

    @invariant()
    def matches_model(self):
        """The newest accepted rows are in force, the follower lags."""
        current = self.sheet.current
        assert current.rows == self.rows
        assert current.revision == len(self.accepted)
        assert self.follower == self.sheets[self.follower.revision]

    def _submit(self, command, rows) -> None:
        highest = max(self.accepted, default=0)
        outcome = self.sheet.submit(command)
        held = self.accepted.get(command.number)
        if held is not None:
            same = held[0] == command.digest
            state = SubmitState.ACCEPTED if same else SubmitState.CONFLICT
            assert outcome.state is state
            assert (outcome.digest, outcome.revision) == held
        elif command.number < highest:
            assert outcome.state is SubmitState.STALE
        elif command.base not in (None, self.sheets[-1].revision):
            assert outcome.state is SubmitState.BASE_CHANGED
        else:
            assert outcome.state is SubmitState.ACCEPTED
            revision = Revision(len(self.accepted) + 1)
            self.accepted[command.number] = (command.digest, revision)
            self.rows = rows
            self.sheets.append(self.sheet.current)

    def _note(self, sheet, delta) -> None:
        if delta is None:
            self.history.clear()
        else:
            self.history.add(delta)


TestSheet = SheetMachine.TestCase
TestSheet.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
