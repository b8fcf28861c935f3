"""Urgency of a routed request, by its workspace and its route."""

__all__ = ["engine_urgency", "request_urgency"]


def request_urgency(base, request):
    """Return the ``(workspace urgency, route urgency)`` of a request.

    Requests are ordered by it; 0 is the most urgent. If any workspace has an urgency,
    one without ranks after all others.

    Parameters
    ----------
    base : Base
        Base configuration in effect, where :func:`merge_site` has ranked workspaces
        without an urgency.
    request : Request
        Its route may be None, which has urgency 0.
    """
    workspace = base.workspaces.get(request.workspace)
    first = workspace.urgency or 0 if workspace is not None else 0
    return first, request.route.urgency if request.route is not None else 0


def engine_urgency(config, request):
    """Return the urgency of a routed request that is sent to an engine.

    Parameters
    ----------
    config : Effective
    request : Request

    Returns
    -------
    int
        At least 0, the most urgent. It is the urgency of the route unless workspaces
        differ in their urgency.
    """
    pair = request_urgency(config.base, request)
    return config.engine_urgencies.get(pair, pair[1])
