"""Interface that carries requests for credit to the leader of the log."""

import abc

from dotterelbridge.quotas.messages import CreditReply
from dotterelbridge.quotas.messages import CreditRequest


class CreditChannel(abc.ABC):
    """Asks the issuer of the deployment for credit."""

    @abc.abstractmethod
    async def request(self, request: CreditRequest) -> CreditReply:
        """Return the issuer's decision.

        :raises PeerError: no issuer can be reached.
        """
