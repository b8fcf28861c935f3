"""Control traffic of quotas, measured by encoding the messages of simulated daemons.

``python -m bluebellbeam.node.tests.quota_traffic DAEMONS WORKSPACES REQUESTS_PER_S``
prints bytes and messages per second and daemon without HTTP headers, the mean and
longest wait of a request, and the CPU time per simulated second and daemon. One
request in five has 9,190 tokens, the others 826; a few workspaces are large, as the
requests of workspace ``i`` are in proportion to ``1 / (i + 1)``.
"""

import sys
import time

from bluebellbeam.node.tests.quota_region import QuotaRegions
from bluebellbeam.node.tests.quota_schedules import workspace

WARM_UP_MS = 2000
MEASURED_MS = 4000


def measure(daemons, workspaces, requests_per_s):
    """Return the measured figures by name."""
    weights = [1.0 / (i + 1) for i in range(workspaces)]
    tokens_per_s = requests_per_s * (0.2 * 9190 + 0.8 * 826)
    names = {}
    for i, weight in enumerate(weights):
        usual = tokens_per_s * weight / sum(weights)
        rate = max(29_000.0, 1.8 * usual)
        names[f"workspace-{i}"] = workspace(rate, 2 * rate)
    sim = QuotaRegions(daemons // 3, names, 1)
    choices, entries = list(names), list(sim.region)
    next_ms = start_ms = sim.now_ms
    started_s = None
    while sim.now_ms < start_ms + WARM_UP_MS + MEASURED_MS:
        if sim.now_ms == start_ms + WARM_UP_MS:
            sim.sent_bytes = sim.sent_messages = sim.refused = 0
            sim.waits_ms.clear()
            started_s = time.process_time()
        while next_ms <= sim.now_ms:
            [name] = sim.rng.choices(choices, weights)
            cost = 9190 if sim.rng.random() < 0.2 else 826
            sim.send(sim.rng.choice(entries), name, cost)
            next_ms += sim.rng.expovariate(requests_per_s / 1000.0)
        sim.step()
    seconds = MEASURED_MS / 1000.0 * len(sim.region)
    return {
        "bytes_per_s": sim.sent_bytes / seconds,
        "messages_per_s": sim.sent_messages / seconds,
        "mean_wait_ms": sum(sim.waits_ms) / len(sim.waits_ms),
        "max_wait_ms": max(sim.waits_ms),
        "cpu_ms_per_s": 1000.0 * (time.process_time() - started_s) / seconds,
        "refused_tokens": sim.refused,
    }


if __name__ == "__main__":
    for name, value in measure(*map(int, sys.argv[1:4])).items():
        print(f"{name}: {value:.2f}")
