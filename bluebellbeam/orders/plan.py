"""Which engine is to hold which model, and who gives the order.

Both are pure functions of what is published and observed, so two daemons
that both believe they are responsible give the same order.
"""

from bluebellbeam.provider.records import Order
from bluebellbeam.utils.hashing import rendezvous_order, rendezvous_score

__all__ = ["plan_placement", "pending_orders", "responsible_member"]


def plan_placement(base, region, engines):
    """Return the model that each engine of `region` is to hold.

    Parameters
    ----------
    base : Base
    region : str
    engines : list of str
        Engines that the VM list shows as live.

    Returns
    -------
    dict of str to str
        Model by engine. Engines beyond the wanted number get none.

    Notes
    -----
    Each model takes the free engines with the highest rendezvous score. The
    loss of an engine moves only what it held.
    """
    wanted = {
        name: model.replicas.get(region, 0)
        for name, model in base.models.items()
        if model.replicas.get(region, 0) > 0
    }
    pairs = [
        (rendezvous_score(f"place:{model}", engine), model, engine)
        for model in wanted
        for engine in engines
    ]
    pairs.sort(reverse=True)
    placement = {}
    for _, model, engine in pairs:
        if engine in placement or wanted[model] == 0:
            continue
        placement[engine] = model
        wanted[model] -= 1
    return placement


def required_names(base, model):
    """Return every ``name@version`` that a replica of `model` is to hold."""
    names = [f"{model}@{base.models[model].version}"]
    for adapter, item in sorted(base.adapters.items()):
        if item.model == model:
            names.append(f"{adapter}@{item.version}")
    return names


def responsible_member(server, members):
    """Return the entry VM that gives orders to `server`, or None."""
    order = rendezvous_order(f"order:{server}", members)
    return order[0] if order else None


def pending_orders(base, revision, placement, rows, sender, most):
    """Return the orders that the observed state still needs.

    Parameters
    ----------
    base : Base
    revision : int
        Revision of `base`, used as fencing number.
    placement : dict of str to str
        From :func:`plan_placement`.
    rows : list of Replica
        Engines that the sender is responsible for.
    sender : str
    most : int
        Engines that may be loading at the same time.

    Returns
    -------
    list of Order
    """
    loading = sum(1 for row in rows if row.loading)
    orders = []
    for row in sorted(rows, key=lambda item: item.name):
        if loading + len(orders) >= most:
            break
        order = _order_for(base, revision, placement.get(row.name), row, sender)
        if order is not None:
            orders.append(order)
    return orders


def _order_for(base, revision, model, row, sender):
    if model is None or row.loading or row.leaving or not row.identified:
        return None
    if row.fence > revision:
        return None
    names = required_names(base, model)
    missing = [name for name in names if name not in row.loaded]
    if not missing:
        return None
    stale = sorted(name for name in row.loaded if name not in names)
    return Order(
        server=row.name,
        incarnation=row.incarnation,
        load=missing[0],
        unload=stale[0] if stale else "",
        fence=revision,
        sender=sender,
    )
