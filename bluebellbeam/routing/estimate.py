"""Expected time to first token, cost and score of a request at one candidate."""

from msgspec import Struct

__all__ = [
    "Estimate",
    "earliest_first_token_ms",
    "estimate_local",
    "estimate_remote",
    "prefill_speed",
    "prompt_base_ms",
    "score_estimate",
]


class Estimate(Struct):
    """Expected time and cost of a request at one candidate.

    Parameters
    ----------
    first_token_ms : float
        Expected time to the first token, or to the response of a service.
    uncached_tokens : int
        Prompt tokens that are not in the cache and have to be computed.
    cost : float
        Price of the request, in the unit of money of the configured prices.
    away : bool
        Whether the request is forwarded to another region.
    """

    first_token_ms: float
    uncached_tokens: int
    cost: float
    away: bool


def prefill_speed(base, request):
    """Return the expected prefill speed for `request` in tokens per second.

    0 when the request needs no prompt to be computed.

    Parameters
    ----------
    base : Base
    request : Request
    """
    if request.service:
        service = base.services.get(request.service)
        return service.prefill_tokens_per_s if service and request.blocks else 0.0
    return base.models[request.model].prefill_tokens_per_s if request.model else 0.0


def estimate_local(replica, request, speed_per_s, region, cached_tokens, now_ms):
    """Return the estimate for backend server `replica` in the daemon's region.

    Parameters
    ----------
    replica : Replica
    request : Request
    speed_per_s : float
        Prompt tokens computed each second; 0 for a service without prompts.
    region : Region
        Region of the server, with its prices.
    cached_tokens : int
        Leading prompt tokens estimated to be in the server's cache.
    now_ms : int
    """
    wait_ms = slot_wait_ms(replica)
    if not speed_per_s:
        expected_ms = wait_ms + (replica.service_ms or request.expected_ms)
        return Estimate(expected_ms, 0, 0.0, False)
    uncached = max(0, request.prompt_tokens - cached_tokens)
    ahead = tokens_ahead(replica, speed_per_s, now_ms)
    prefill_ms = 1000.0 * (uncached + ahead) / speed_per_s
    # The wait is based on durations observed at this server, so it already contains
    # the pace.
    first_token_ms = wait_ms + prefill_ms * replica.pace
    tokens = uncached + request.max_output_tokens
    cost = tokens / 1000.0 * region.price_per_1k_tokens
    return Estimate(first_token_ms, uncached, cost, False)


def prompt_base_ms(replica, request, speed_per_s, cached_tokens, now_ms):
    """Return the time in ms to the first token of a prompt at a server of pace 1.

    Parameters are as for :func:`estimate_local`; the result is 0 for a request without
    a prompt.
    """
    if not speed_per_s:
        return 0.0
    uncached = max(0, request.prompt_tokens - cached_tokens)
    ahead = tokens_ahead(replica, speed_per_s, now_ms)
    return slot_wait_ms(replica) + 1000.0 * (uncached + ahead) / speed_per_s


def earliest_first_token_ms(replica, request, speed_per_s, cached_tokens, now_ms):
    """Return the earliest plausible time in ms to the first token or response.

    A server may be late by a factor or by a constant, which observations of prompts of
    one length cannot tell apart. Rejections are based on the more favourable case.
    Parameters are as for :func:`estimate_local`.
    """
    if not speed_per_s:
        return slot_wait_ms(replica) + (replica.service_ms or request.expected_ms)
    base_ms = prompt_base_ms(replica, request, speed_per_s, cached_tokens, now_ms)
    wait_ms = slot_wait_ms(replica)
    paced_ms = wait_ms + (base_ms - wait_ms) * replica.pace
    return min(paced_ms, base_ms + replica.delay_ms)


def estimate_remote(offer, request, model, remote_region, round_trip_ms, cached_tokens):
    """Return the estimate for forwarding to a region that has offered capacity.

    Parameters
    ----------
    offer : CapacityOffer
        Offer with the lender's own estimate of its queueing delay.
    request : Request
    model : Model or None
        None for a call of a service.
    remote_region : Region
        Region of the lender, with its prices.
    round_trip_ms : float
        Network round trip to the region of the lender.
    cached_tokens : int
        Leading prompt tokens recently sent to this lender.
    """
    if model is None:
        first_ms = round_trip_ms + offer.wait_ms + request.expected_ms
        return Estimate(first_ms, 0, 0.0, True)
    uncached = max(0, request.prompt_tokens - cached_tokens)
    prefill_ms = 1000.0 * uncached / model.prefill_tokens_per_s
    first_ms = round_trip_ms + offer.wait_ms + prefill_ms
    computed = (uncached + request.max_output_tokens) / 1000.0
    transferred = (request.prompt_tokens + request.max_output_tokens) / 1000.0
    cost = computed * remote_region.price_per_1k_tokens
    cost += transferred * remote_region.wan_price_per_1k_tokens
    return Estimate(first_ms, uncached, cost, True)


def score_estimate(estimate, objective):
    """Return the score of `estimate` under `objective`, in ms; lower is better."""
    score = estimate.first_token_ms * objective.latency_weight
    score += estimate.cost * objective.cost_ms_per_unit
    if estimate.away:
        score += objective.away_penalty_ms
    return score


def tokens_ahead(replica, prefill_tokens_per_s, now_ms):
    """Return the prompt tokens that `replica` must compute before a new request.

    The larger of two estimates: the tokens in flight there from this daemon and its
    peers, and the tokens that the server last reported as waiting, less those that
    it can have computed since.
    """
    in_flight = replica.inflight_tokens + replica.peer_waiting_tokens
    if replica.reported_ms is None or not replica.waiting_tokens:
        return in_flight
    since_s = (now_ms - replica.reported_ms) / 1000.0
    reported = replica.waiting_tokens - since_s * prefill_tokens_per_s
    return max(in_flight, reported)


def slot_wait_ms(replica):
    """Return the expected wait for a free slot of `replica`, in ms.

    Before a first request has ended there, each is assumed to hold a slot for 1 s.
    """
    excess = replica.occupancy() + 1 - replica.slots
    if excess <= 0:
        return 0.0
    return excess * (replica.service_ms or 1000.0) / replica.slots
