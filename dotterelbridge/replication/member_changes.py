"""Which change of the members a leader makes next."""

import abc
from collections.abc import Sequence

from dotterelbridge.ids import MemberId
from dotterelbridge.ids import VmId
from dotterelbridge.replication.entries import Configuration
from dotterelbridge.replication.entries import Member


class MemberObserver(abc.ABC):
    """What a leader knows of the members."""

    @abc.abstractmethod
    def has_caught_up(self, member_id: MemberId) -> bool:
        """Return whether a member answers and is close behind the commits."""

    @abc.abstractmethod
    def has_ended(self, member_id: MemberId) -> bool:
        """Return whether the VM of a learner answers with another id."""

    @abc.abstractmethod
    def is_voter_silent(self, member_id: MemberId) -> bool:
        """Return whether a voter was silent long enough to be replaced."""

    @abc.abstractmethod
    def is_learner_silent(self, member_id: MemberId) -> bool:
        """Return whether a learner was silent long enough to be removed."""


class MemberChanges:
    """Finds the steps to the wanted members, one change at a time."""

    def __init__(
        self,
        observer: MemberObserver,
        losses_tolerated: int,
        initial_voters: Sequence[VmId],
    ) -> None:
        self._observer = observer
        self._initial_voters = initial_voters
        self._target_count = 2 * losses_tolerated + bool(losses_tolerated)
        """Number of voters that the group grows to; 0 without a target."""

    def find_next(self, configuration: Configuration) -> Configuration | None:
        """Return the next step to the wanted members; None if all is well.

        A voter that is gone loses its vote before another member gets it.
        The other way round both count for a moment, and the loss of the new
        one would leave the group without a majority.
        """
        superseded = configuration.find_superseded_member()
        if superseded:
            return configuration.without_member(superseded.member_id)
        replaced = self._find_replaced_voter(configuration)
        if replaced:
            return configuration.without_vote(replaced.member_id)
        return (
            self._find_promotion(configuration)
            or self._find_silent_voter_change(configuration)
            or self._find_learner_removal(configuration)
        )

    def _find_replaced_voter(
        self, configuration: Configuration
    ) -> Member | None:
        """Return a voter whose VM answers as a learner that has caught up."""
        for member in configuration.list_voters():
            for later in configuration.list_later_members(member):
                if self._observer.has_caught_up(later.member_id):
                    return member
        return None

    def _find_promotion(
        self, configuration: Configuration
    ) -> Configuration | None:
        if self._target_count:
            # A VM that replaces its own former member is preferred.
            learners = configuration.list_promotable_learners(())
            learners += [m for m in configuration.members if not m.voter]
            if len(configuration.list_voters()) >= self._target_count:
                return None
        else:
            learners = configuration.list_promotable_learners(
                self._initial_voters
            )
        for learner in learners:
            if self._observer.has_caught_up(learner.member_id):
                return configuration.with_voter(learner.member_id)
        return None

    def _find_silent_voter_change(
        self, configuration: Configuration
    ) -> Configuration | None:
        """Return the configuration in which a silent voter has no vote.

        It keeps its vote until a learner can replace it, so that a VM which
        restarts while no learner is available stays a voter.
        """
        voters = configuration.list_voters()
        if not self._target_count or len(voters) < self._target_count:
            return None
        silent = [
            m for m in voters if self._observer.is_voter_silent(m.member_id)
        ]
        can_replace = len(voters) > self._target_count or any(
            self._observer.has_caught_up(member.member_id)
            for member in configuration.members
            if not member.voter
        )
        if silent and can_replace:
            return configuration.without_vote(silent[0].member_id)
        return None

    def _find_learner_removal(
        self, configuration: Configuration
    ) -> Configuration | None:
        """Return the configuration without a learner that has ended.

        A learner that was only away for long asks to join again. Without a
        target number of voters, only an operator removes it.
        """
        for member in configuration.members:
            if member.voter:
                continue
            # Without a target number of voters, the former voter shows that
            # the later learner on its VM is to be promoted.
            is_needed = not self._target_count and (
                configuration.list_later_members(member)
            )
            has_ended = self._observer.has_ended(member.member_id)
            if has_ended and not is_needed:
                return configuration.without_member(member.member_id)
            if self._target_count and self._observer.is_learner_silent(
                member.member_id
            ):
                return configuration.without_member(member.member_id)
        return None
