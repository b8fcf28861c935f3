"""Placement of models on engines, and the load orders that engines need for it.

A load order instructs an engine to load one model or adapter version, and to unload
another one first if it holds one that is not required.

Placement and orders are pure functions of the published configuration and the
observed state, so two daemons that both consider themselves responsible send the
same order.
"""

from bluebellbeam.provider.records import Order
from bluebellbeam.utils.hashing import rendezvous_order, rendezvous_score

__all__ = ["pending_orders", "plan_placement", "responsible_member"]


def plan_placement(base, region, engines):
    """Return the model that each engine of `region` should load.

    Parameters
    ----------
    base : Base
    region : str
    engines : list of str
        Engines that are live in the VM list.

    Returns
    -------
    dict of str to str
        Model by engine. Engines beyond the configured number of replicas have none.

    Notes
    -----
    Each model is placed on the free engines with the highest rendezvous score. The
    loss of an engine moves only the model that it had.
    """
    unplaced = {
        name: model.replicas.get(region, 0)
        for name, model in base.models.items()
        if model.replicas.get(region, 0) > 0
    }
    pairs = [
        (rendezvous_score(f"place:{model}", engine), model, engine)
        for model in unplaced
        for engine in engines
    ]
    pairs.sort(reverse=True)
    placement = {}
    for _, model, engine in pairs:
        if engine in placement or unplaced[model] == 0:
            continue
        placement[engine] = model
        unplaced[model] -= 1
    return placement


def required_names(base, model):
    """Return every ``name@version`` that a replica of `model` should have loaded."""
    names = [f"{model}@{base.models[model].version}"]
    for adapter, item in sorted(base.adapters.items()):
        if item.model == model:
            names.append(f"{adapter}@{item.version}")
    return names


def responsible_member(server, members):
    """Return the entry VM that sends load orders to `server`, or None."""
    ranked = rendezvous_order(f"order:{server}", members)
    return ranked[0] if ranked else None


def pending_orders(base, revision, placement, replicas, sender, max_loading):
    """Return the load orders that turn the observed state into the placement.

    Parameters
    ----------
    base : Base
    revision : int
        Revision of `base`, used as the fencing number.
    placement : dict of str to str
        From :func:`plan_placement`.
    replicas : list of Replica
        Engines that the sender is responsible for.
    sender : str
        Name of this daemon's VM.
    max_loading : int
        Largest number of these engines that may be loading at the same time.

    Returns
    -------
    list of Order
        At most one for each engine; the next one follows when it has loaded.
    """
    loading = sum(1 for replica in replicas if replica.loading)
    orders = []
    for replica in sorted(replicas, key=lambda item: item.name):
        if loading + len(orders) >= max_loading:
            break
        order = _order_for(base, revision, placement.get(replica.name), replica, sender)
        if order is not None:
            orders.append(order)
    return orders


def _order_for(base, revision, model, replica, sender):
    """Return the next load order for engine `replica`, or None if it needs none now."""
    if model is None or replica.loading or replica.leaving or not replica.identified:
        return None
    if replica.fence > revision:
        return None
    names = required_names(base, model)
    missing = [name for name in names if name not in replica.loaded]
    if not missing:
        return None
    stale = sorted(name for name in replica.loaded if name not in names)
    return Order(
        server=replica.name,
        incarnation=replica.incarnation,
        load=missing[0],
        unload=stale[0] if stale else "",
        fence=revision,
        sender=sender,
    )
