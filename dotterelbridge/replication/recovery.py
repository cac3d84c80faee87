"""Makes one voter's data folder the only voter of a new group.

A last resort if a majority of the voters is permanently lost. Entries that
only the lost voters held are gone. Run it on one VM with its daemon stopped:

    python -m dotterelbridge.replication.recovery --folder F --vm NAME
"""

import argparse
from pathlib import Path
import secrets

from dotterelbridge.errors import StorageError
from dotterelbridge.ids import LogIndex
from dotterelbridge.ids import Term
from dotterelbridge.ids import VmId
from dotterelbridge.replication.entries import NO_INDEX
from dotterelbridge.replication.entries import Configuration
from dotterelbridge.replication.entries import Entry
from dotterelbridge.replication.entries import EntryKind
from dotterelbridge.replication.entries import Member
from dotterelbridge.replication.entries import encode_configuration
from dotterelbridge.replication.file_storage import create_file_storage
from dotterelbridge.replication.storage import Ballot
from dotterelbridge.replication.storage import StoredState

_GROUP_ID_BYTES = 8


def form_single_voter_group(folder: Path, vm: VmId) -> LogIndex:
    """Append a configuration whose only member is this folder's member.

    The group gets a new id, so that a lost voter that comes back is
    refused. Returns the last index of the log before that entry; the
    entries up to it are kept.

    :raises StorageError: the folder is damaged, empty or in use.
    """
    storage = create_file_storage(folder)
    state = storage.open()
    try:
        last = _find_last(state)
        if last == NO_INDEX:
            raise StorageError(
                f"{folder} holds no log", "choose another voter's folder"
            )
        term = Term(max(state.ballot.term, _find_last_term(state)) + 1)
        storage.write_ballot(Ballot(term=term))
        storage.append([_create_entry(state, vm, last, term)])
    finally:
        storage.close()
    return last


def _find_last(state: StoredState) -> LogIndex:
    if state.entries:
        return state.entries[-1].index
    return state.snapshot.index if state.snapshot else NO_INDEX


def _find_last_term(state: StoredState) -> Term:
    if state.entries:
        return state.entries[-1].term
    return state.snapshot.term


def _create_entry(
    state: StoredState, vm: VmId, last: LogIndex, term: Term
) -> Entry:
    configuration = Configuration(
        group_id=secrets.token_hex(_GROUP_ID_BYTES),
        members=(Member(member_id=state.member_id, vm=vm, voter=True),),
    )
    return Entry(
        index=LogIndex(last + 1),
        term=term,
        kind=EntryKind.CONFIGURATION,
        command=encode_configuration(configuration),
    )


def main() -> None:
    """Run the command line program."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", type=Path, required=True)
    parser.add_argument("--vm", required=True, help="name of this VM")
    options = parser.parse_args()
    last = form_single_voter_group(options.folder, VmId(options.vm))
    print(f"formed a new group; the log counts up to entry {last}")


if __name__ == "__main__":
    main()
