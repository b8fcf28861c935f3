"""Rendezvous hashing [1]_ and hashes of prompt prefix blocks.

References
----------
.. [1] Thaler and Ravishankar, "Using name-based mappings to increase hit
   rates", IEEE/ACM Transactions on Networking, 1998.
"""

import math

import xxhash

__all__ = ["hash_text", "prefix_blocks", "rendezvous_order", "rendezvous_score"]

_HASH_RANGE = float(1 << 64)


def hash_text(text):
    """Return a 64-bit hash of `text` (str or bytes), the same in every process."""
    raw = text.encode() if isinstance(text, str) else text
    return xxhash.xxh3_64_intdigest(raw)


def rendezvous_score(key, name, weight=1.0):
    """Return the weighted rendezvous score of node `name` for `key`.

    Parameters
    ----------
    key, name : str
    weight : float
        Relative share of keys that the node owns. Must be positive.

    Returns
    -------
    float
        The node with the highest score owns the key.
    """
    unit = (hash_text(f"{key}\x00{name}") + 1) / (_HASH_RANGE + 1)
    return -weight / math.log(unit)


def rendezvous_order(key, names, weights=None):
    """Return `names` sorted by descending rendezvous score for `key`.

    Parameters
    ----------
    key : str
    names : iterable of str
    weights : dict of str to float, optional

    Returns
    -------
    list of str

    Examples
    --------
    >>> sorted(rendezvous_order("farm-1", ["a", "b"])) == ["a", "b"]
    True
    """
    weights = weights or {}
    return sorted(
        names,
        key=lambda n: (rendezvous_score(key, n, weights.get(n, 1.0)), n),
        reverse=True,
    )


def prefix_blocks(text, block_bytes, max_blocks):
    """Return cumulative hashes of the leading blocks of a prompt.

    Parameters
    ----------
    text : bytes
    block_bytes : int
        Size of a block in bytes.
    max_blocks : int
        Largest number of hashes to return.

    Returns
    -------
    tuple of int
        Hash ``i`` identifies the first ``(i + 1) * block_bytes`` bytes; a
        trailing partial block has no hash.
    """
    digest = xxhash.xxh3_64()
    blocks = []
    for start in range(0, len(text) - block_bytes + 1, block_bytes):
        if len(blocks) == max_blocks:
            break
        digest.update(text[start : start + block_bytes])
        blocks.append(digest.intdigest())
    return tuple(blocks)
