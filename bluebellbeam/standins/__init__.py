"""Simulated platform and backend servers (stand-ins) for tests and demos."""

from bluebellbeam.standins.engine import Engine, EngineJob, JobEvent, make_engine
from bluebellbeam.standins.service import PlainService, make_service
from bluebellbeam.standins.store import (
    Directory,
    FeedStore,
    make_directory,
    make_feed_store,
)
from bluebellbeam.standins.weights import WeightStore, make_weight_store

__all__ = [
    "Directory",
    "Engine",
    "EngineJob",
    "JobEvent",
    "PlainService",
    "FeedStore",
    "WeightStore",
    "make_directory",
    "make_engine",
    "make_service",
    "make_feed_store",
    "make_weight_store",
]
