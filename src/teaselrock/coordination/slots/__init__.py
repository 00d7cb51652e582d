"""Slots: a concurrency limit for each server, shared by all instances."""

from teaselrock.coordination.slots.allocator import SlotAllocator
from teaselrock.coordination.slots.borrower import SlotBorrower
from teaselrock.coordination.slots.limit import AdaptiveLimit
from teaselrock.coordination.slots.options import ServerGroup
from teaselrock.coordination.slots.options import SlotOptions
from teaselrock.coordination.slots.service import SharedSlots

__all__ = (
    'AdaptiveLimit',
    'ServerGroup',
    'SharedSlots',
    'SlotAllocator',
    'SlotBorrower',
    'SlotOptions',
)
