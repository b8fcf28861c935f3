"""Configuration: data classes, checks, overlays, published bundles, settings."""

from bluebellbeam.config.bundle import (
    Manifest,
    assemble_parts,
    bundle_digest,
    canonical_json,
    effective_from_parts,
    hash_part,
    split_documents,
)
from bluebellbeam.config.check import check_base, check_overlay
from bluebellbeam.config.effective import (
    Effective,
    decode_effective,
    merge_overlay,
    resolve_model,
)
from bluebellbeam.config.fault import Fault, decode_document, nearest_name
from bluebellbeam.config.model import (
    Adapter,
    Base,
    Call,
    Deadlines,
    FailureDomain,
    Model,
    Objective,
    Overlay,
    Policy,
    Region,
    Service,
    Site,
    Workspace,
    WorkspaceOverlay,
)
from bluebellbeam.config.settings import (
    PlatformAddresses,
    Settings,
    decode_settings,
    read_settings,
)

__all__ = [
    "Adapter",
    "Base",
    "Call",
    "Deadlines",
    "Effective",
    "FailureDomain",
    "Fault",
    "Manifest",
    "Model",
    "Objective",
    "Overlay",
    "PlatformAddresses",
    "Policy",
    "Region",
    "Service",
    "Settings",
    "Site",
    "Workspace",
    "WorkspaceOverlay",
    "assemble_parts",
    "bundle_digest",
    "canonical_json",
    "check_base",
    "check_overlay",
    "decode_document",
    "decode_effective",
    "decode_settings",
    "effective_from_parts",
    "hash_part",
    "merge_overlay",
    "nearest_name",
    "read_settings",
    "resolve_model",
    "split_documents",
]
