"""HTTP listener for operators: health, metrics, state and routing decisions."""

import msgspec
from sanic import response

from bluebellbeam.daemon.connection_limit import has_refused_lately
from bluebellbeam.daemon.listener import error_response, make_listener_app
from bluebellbeam.node import TABLES, dump_state, explain_request, make_error

__all__ = ["make_operator_app"]

MAX_BODY_BYTES = 64 * 1024


def make_operator_app(driver, metrics):
    """Return the sanic application of the operator listener."""
    app = make_listener_app("operators", driver.settings.vm, MAX_BODY_BYTES)
    state = driver.node.state

    async def livez(request):
        return response.text("ok\n")

    async def readyz(request):
        if state.ready and not state.leaving:
            if has_refused_lately(driver.connection_limit):
                return response.text("no connection left\n", 503)
            return response.text("ready\n")
        return response.text("leaving\n" if state.leaving else "starting\n", 503)

    async def show_metrics(request):
        return response.raw(metrics.render(), content_type="text/plain; version=0.0.4")

    async def show_state(request):
        requested = request.args.getlist("table") or list(TABLES)
        unknown = sorted(set(requested) - set(TABLES))
        if unknown:
            names = ", ".join(TABLES)
            text = f"unknown table '{unknown[0]}'; the tables are {names}"
            return error_response(make_error("bad_request", message=text), "")
        tables = dump_state(state, driver.clock.now_ms(), requested)
        return response.raw(msgspec.json.encode(tables), content_type=_JSON)

    async def explain(request, request_id):
        steps = explain_request(state, request_id)
        if steps is None:
            return error_response(make_error("not_found"), request_id)
        return response.raw(msgspec.json.encode(steps), content_type=_JSON)

    app.add_route(livez, "/livez", name="livez")
    app.add_route(readyz, "/readyz", name="readyz")
    app.add_route(show_metrics, "/metrics", name="metrics")
    app.add_route(show_state, "/state", name="state")
    app.add_route(explain, "/explain/<request_id:str>", name="explain")
    return app


_JSON = "application/json"
