"""Leader elections: timeouts, pre-vote and vote."""

from collections.abc import Awaitable
from collections.abc import Callable
import math

import attrs
import trio

from guavapulley import model
from guavapulley import ports
from guavapulley.consensus import _leader_term
from guavapulley.consensus import _state


@attrs.define
class _VoteCount:
    """Votes received in one round of requests.

    Attributes:
        needed: Votes that make a majority.
        granted: Votes received; the candidate votes for itself.
        higher_term: Highest term in a rejection.
    """

    needed: int
    granted: int = 1
    higher_term: int = 0


class Elections:
    """Starts an election when no leader has made contact for a timeout.

    Args:
        state: State of the replica.
        connections: Clients for the peers.
        lead: Runs the leader for one term and returns once it steps down.

    Attributes:
        started_s: When the replica started, on trio's clock. The state's
            `leader_contact_s` equals it until a leader makes contact or this
            replica votes.
    """

    def __init__(
        self,
        state: _state.ReplicaState,
        connections: ports.PeerClientPool,
        lead: Callable[[], Awaitable[None]],
    ) -> None:
        self.state = state
        self.connections = connections
        self.lead = lead
        self.started_s = math.nan

    async def run(self) -> None:
        """Waits for election timeouts and campaigns, until cancelled."""
        settings = self.state.env.settings
        self.started_s = self.state.leader_contact_s
        while True:
            await self.state.replicas_changed.wait_until(self.state.is_voter)
            await self._wait_for_election_timeout()
            if not self.state.is_voter():
                continue
            if await self._campaign():
                await self.lead()
            else:
                await trio.sleep(
                    self.state.env.rng.uniform(
                        settings.election_retry_min_s,
                        settings.election_retry_max_s,
                    )
                )

    async def _wait_for_election_timeout(self) -> None:
        """Returns when no leader has made contact for a random timeout."""
        settings, rng = self.state.env.settings, self.state.env.rng
        timeout_s = rng.uniform(
            settings.election_timeout_min_s, settings.election_timeout_max_s
        )
        first_timeout_s = rng.uniform(
            settings.first_election_min_s, settings.first_election_max_s
        )
        while True:
            contact_s = self.state.leader_contact_s
            is_first = contact_s == self.started_s
            due_s = contact_s + (first_timeout_s if is_first else timeout_s)
            if due_s <= trio.current_time():
                return
            await trio.sleep_until(due_s)

    async def _campaign(self) -> bool:
        """Requests pre-votes, then votes; returns whether it won."""
        state = self.state
        term, contact_s = state.term, state.leader_contact_s
        if not await self._request_votes(term + 1, pre_vote=True):
            return False
        # The replica voted or a leader made contact during the pre-vote.
        if state.term != term or state.leader_contact_s != contact_s:
            return False
        state.term, state.voted_for = term + 1, state.own_id
        state.role, state.leader_id = _state.Role.CANDIDATE, None
        started_s = trio.current_time()
        await state.save_vote()
        won = await self._request_votes(term + 1, pre_vote=False)
        if state.term != term + 1 or state.role != _state.Role.CANDIDATE:
            return False
        if not won:
            state.role = _state.Role.FOLLOWER
            return False
        self._become_leader(started_s)
        return True

    def _become_leader(self, started_s: float) -> None:
        state = self.state
        state.role, state.leader_id = _state.Role.LEADER, state.own_id
        state.leader_term = _leader_term.LeaderTerm(
            state.term, state.own_id, state.log.last_index + 1
        )
        state.recorded_quorum_contact_s = max(
            state.recorded_quorum_contact_s, started_s
        )
        state.env.events.write("replica:leader_elected", term=state.term)
        state.env.metrics.increment("replica.elections_won")
        state.append_as_leader(model.EntryKind.NOOP, b"")

    async def _request_votes(self, term: int, *, pre_vote: bool) -> bool:
        """Requests votes from all voters; returns whether a majority granted.

        Does not wait for the other replies once a majority has granted.
        """
        state = self.state
        members = _leader_term.voters(state.log.replicas)
        count = _VoteCount(len(members) // 2 + 1)
        others = (item for item in members if item.replica_id != state.own_id)
        if count.granted < count.needed:
            async with trio.open_nursery() as nursery:
                for member in others:
                    request = model.RequestVote(
                        state.cluster_id,
                        term,
                        state.own_id,
                        state.log.last_index,
                        state.log.last_term,
                        pre_vote,
                        member.replica_id,
                    )
                    nursery.start_soon(
                        self._request_vote,
                        member,
                        request,
                        count,
                        nursery.cancel_scope,
                    )
        if count.higher_term > state.term:
            await state.adopt_term(count.higher_term)
        return count.granted >= count.needed

    async def _request_vote(
        self,
        member: model.ReplicaMember,
        request: model.RequestVote,
        count: _VoteCount,
        scope: trio.CancelScope,
    ) -> None:
        client = self.connections.client(member.address)
        timeout_s = self.state.env.settings.vote_timeout_s
        try:
            reply = await client.call(request, timeout_s)
        except ports.PeerError:
            return
        if not isinstance(reply, model.RequestVoteReply):
            return
        if reply.granted:
            count.granted += 1
        else:
            count.higher_term = max(count.higher_term, reply.term)
        if count.granted >= count.needed:
            scope.cancel()
