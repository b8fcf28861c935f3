"""Services whose servers report the duration of work on their machine."""

__all__ = ["has_shared_machines"]


def has_shared_machines(state, service):
    """Return whether servers of `service` report the load of their machine.

    The order by urgency and the sharing of regional peaks apply to these services.
    """
    return service in state.shared_machine_services
