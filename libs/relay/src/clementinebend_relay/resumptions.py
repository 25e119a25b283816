"""Decides at what a stream that a caller resumes may go on.

A caller that resumes a stream names its request that brought the first event. The
stream goes on only at the service and the software version that began it. If these
aren't known for certain, or no endpoint has the version, the call is rejected at once,
so that the caller can begin anew.
"""

from collections.abc import Callable

from clementinebend_relay.admission import Admitted
from clementinebend_relay.configuration import ConfigurationTable
from clementinebend_relay.decisions import log_decision
from clementinebend_relay.endpoints import EndpointTable
from clementinebend_relay.metrics import resumptions
from clementinebend_relay.models import Reason, Rejection, RouteKind
from clementinebend_relay.origin_replicas import Lookup, OriginReplicas
from clementinebend_relay.stream_origins import StreamKey, StreamOrigin

MAX_WAIT_SHARE = 0.1
"""Largest share of a call's time limit for which it waits for its stream's origin."""

BEGIN_ANEW_DELAY = 0.0
"""Retry-after delay in seconds of a caller whose stream cannot go on: it may begin a
new stream at once."""


OTHER_ENTRY_DELAY = 0.1
"""Retry-after delay in seconds of a caller whose stream may go on at another entry."""


class Resumptions:
    """Finds the origin of streams that callers resume."""

    def __init__(
        self,
        origins: OriginReplicas,
        endpoints: EndpointTable,
        configuration: ConfigurationTable,
        clock: Callable[[], float],
    ) -> None:
        self.origins = origins
        self.endpoints = endpoints
        self.configuration = configuration
        self.clock = clock

    async def admit(self, admitted: Admitted) -> Admitted | Rejection:
        """Return a call bound to its stream's origin, or why it can't go on.

        Calls that resume no stream are returned unchanged.
        """
        call = admitted.call
        if admitted.route.kind is not RouteKind.STREAM or not call.is_resumption:
            return admitted
        if not self.endpoints.is_in_step():
            self._record(admitted, Lookup(None), "out of step")
            message = "this entry may not know the endpoints' versions: try another"
            return Rejection(Reason.OUT_OF_STEP, message, OTHER_ENTRY_DELAY, True)
        lookup = await self._find(admitted)
        known = lookup.known
        if known is None or known.origin is None:
            message = "nobody knows which version began the stream: begin it anew"
            rejection = Rejection(Reason.ORIGIN_UNKNOWN, message, BEGIN_ANEW_DELAY)
            self._record(admitted, lookup, "unknown")
            return rejection
        bound = self._bind(admitted, known.origin)
        self._record(admitted, lookup, "known" if bound else "version gone")
        if bound is None:
            message = "no endpoint of the version that began is left: begin anew"
            return Rejection(Reason.VERSION_GONE, message, BEGIN_ANEW_DELAY)
        return bound

    async def _find(self, admitted: Admitted) -> Lookup:
        call = admitted.call
        if call.resumes is None or not admitted.route.is_resumable:
            return Lookup(None)
        max_wait = admitted.time_limit * MAX_WAIT_SHARE
        key = StreamKey(admitted.team.name, call.resumes)
        return await self.origins.find(key, max_wait)

    def _bind(self, admitted: Admitted, origin: StreamOrigin) -> Admitted | None:
        """Return the call bound to an origin, None if it can't go on there."""
        names = {share.service for share in admitted.route.services}
        current = self.configuration.current
        if current is None or origin.service not in names:
            return None
        service = current.services.get(origin.service)
        if service is None or not self.endpoints.has_version(*origin):
            return None
        return admitted._replace(service=service, origin=origin)

    def _record(self, admitted: Admitted, lookup: Lookup, outcome: str) -> None:
        call, known = admitted.call, lookup.known
        origin = None if known is None else known.origin
        resumptions.labels(admitted.service.name, outcome).inc()
        log_decision(
            "resumption",
            request_id=call.request_id,
            resumes=call.resumes,
            after=call.last_event,
            outcome=outcome,
            service=None if origin is None else origin.service,
            software_version=None if origin is None else origin.software_version,
            source=None if known is None else known.source,
            age_s=None if known is None else round(self.clock() - known.since, 3),
            asked=lookup.asked,
            answered=lookup.answered,
            waited_s=round(lookup.seconds, 4),
        )
