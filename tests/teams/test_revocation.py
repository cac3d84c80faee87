"""A key that was taken away is dead everywhere after its time.

Each test lets a part of the deployment fail while keys are taken away.
"""

import random

import anyio
import pytest

from dotterelbridge.clock import ManualClock
from dotterelbridge.teams.confirmation import KeyConfirmation
from dotterelbridge.teams.permission import UNCONFIRMED_MS
from dotterelbridge.teams.permission import KeyPermission
from dotterelbridge.teams.settings import TeamsSettings
from tests.teams.revocation import ENTRY_VMS
from tests.teams.revocation import REVOKE_MS
from tests.teams.revocation import run_deployment_test


async def revoke(deployment, key="k1", keys=()) -> None:
    """Take a key away, and check that it is dead everywhere in time."""
    await deployment.check_dead(key, await deployment.submit(keys))


def test_renewal_by_a_leader_that_is_then_frozen():
    """The answers of a frozen leader arrive long after a new one is elected.

    Guards against a permission that begins when an answer arrives.
    """

    async def test(deployment):
        leader = await deployment.wait_leader()
        for name in ENTRY_VMS:
            deployment.start_entry(name, leader)
        await deployment.wait_served("k1")
        deployment.network.hold_messages(leader)
        await deployment.wait_until(
            lambda: deployment.find_leader() not in (None, leader)
        )
        acknowledged_at = await deployment.submit([])
        async with anyio.create_task_group() as checks:
            checks.start_soon(deployment.check_dead, "k1", acknowledged_at)
            await anyio.sleep(REVOKE_MS / 1000 + 1)
            # Only what the leader sent before it was frozen arrives.
            deployment.network.release_messages()
            deployment.network.hold_messages(leader)

    run_deployment_test(test)


def test_lost_vote_delays_but_does_not_keep_a_key_alive():
    # Guards against a permission that outlasts an election of two rounds.
    async def test(deployment):
        leader = await deployment.wait_leader()
        lost = []

        def drop_first_votes(source, destination, frame):
            if len(lost) < 2 and frame.name == "replication.vote_reply":
                lost.append(source)
                return False
            return True

        deployment.network.frame_filter = drop_first_votes
        deployment.kill(leader)
        deployment.controls[leader].scope.cancel()
        await revoke(deployment, keys=["k2"])
        assert len(lost) == 2
        await deployment.wait_served("k2")

    run_deployment_test(test)


def test_several_revocations_in_a_row():
    # Guards against the time of a later revocation counting for an earlier.
    async def test(deployment):
        keys = [f"k{number}" for number in range(1, 8)]
        await deployment.submit(keys)
        await deployment.wait_served("k7")
        deployment.network.isolate([*ENTRY_VMS[:1]])
        async with anyio.create_task_group() as tasks:
            for number, key in enumerate(keys):
                at = await deployment.submit(keys[number + 1 :])
                tasks.start_soon(deployment.check_dead, key, at)
                await anyio.sleep(0.3)

    run_deployment_test(test)


def test_last_key_of_a_team_is_dead_too():
    # Guards against a deployment without keys counting as one without teams.
    async def test(deployment):
        await revoke(deployment)
        for entry in deployment.entries.values():
            assert entry.routes.teams.has_teams
            assert entry.permission.is_valid()

    run_deployment_test(test)


def test_key_that_is_given_back_is_served_again():
    async def test(deployment):
        await deployment.submit([])
        acknowledged_at = await deployment.submit(["k1"])
        await anyio.sleep_until(acknowledged_at + 3)
        assert all(vm.serves("k1") for vm in deployment.entries.values())

    run_deployment_test(test)


def test_vm_that_starts_beside_a_source_with_old_state():
    """A control VM is cut off from the others, with old routes.

    Guards against an entry VM that starts there, takes its routes after the
    wait for an up-to-date source, and serves them as if they were current.
    """

    async def test(deployment):
        name, source = ENTRY_VMS[0], deployment.vms[0]
        deployment.network.isolate([name, source])
        acknowledged_at = await deployment.submit(["k2"])
        entry = deployment.start_entry(name)
        await deployment.wait_until(lambda: entry.routes.version == 1)
        await deployment.check_dead("k1", acknowledged_at)
        deployment.network.restore_links()
        await deployment.wait_served("k2")

    run_deployment_test(test)


def test_update_whose_routes_were_not_activated_does_not_renew():
    """A source is too old for its routes to be taken, and has contact again.

    Guards against a renewal for keys that this VM does not have.
    """

    async def test(deployment):
        entry = deployment.entries[ENTRY_VMS[0]]
        taken = []

        def activate(packed):
            taken.append(packed.version)
            return False

        entry.routes.activate = activate
        age_ms = entry.permission.age_ms()
        await revoke(deployment)
        assert taken
        assert entry.permission.age_ms() > age_ms + 5000

    run_deployment_test(test)


def test_new_leader_confirms_only_what_it_has_applied():
    # Guards against a leader that was just elected and has not yet applied a
    # revocation that the previous one acknowledged.
    class Log:
        is_current = False

        def has_leader_lease(self):
            return True

        def has_applied_all(self):
            return self.is_current

    log, clock = Log(), ManualClock(5.0)
    permission = KeyPermission(clock, TeamsSettings())
    confirmation = KeyConfirmation(log, permission, clock)
    assert confirmation.read_age_ms() == UNCONFIRMED_MS
    log.is_current = True
    assert confirmation.read_age_ms() == 0


@pytest.mark.parametrize("seed", range(6))
def test_random_faults_keep_no_key_alive(seed):
    async def test(deployment):
        rng = random.Random(seed)
        network = deployment.network
        async with anyio.create_task_group() as checks:
            for number in range(1, 7):
                fault = rng.choice(("hold", "isolate", "restart", "loss"))
                vm = rng.choice([*deployment.vms, *ENTRY_VMS])
                if fault == "hold":
                    network.hold_messages(vm)
                elif fault == "isolate":
                    network.isolate([vm, rng.choice(ENTRY_VMS)])
                elif fault == "loss":
                    network.conditions.loss_share = 0.1
                elif vm in ENTRY_VMS:
                    deployment.start_entry(vm)
                else:
                    deployment.start(vm)
                at = await deployment.submit([f"k{number + 1}"])
                checks.start_soon(deployment.check_dead, f"k{number}", at)
                await anyio.sleep(rng.uniform(0.1, 6))
                network.release_messages()
                network.restore_links()
                network.conditions.loss_share = 0.0
        await deployment.wait_served("k7")

    run_deployment_test(test, size=3, seed=seed)
