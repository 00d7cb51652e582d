"""Decodes pages of stored objects, in which any part may be unreadable.

Any client may write objects. One that cannot be decoded must not hide the
others of its page, so it is decoded as an object without content.
"""

from typing import Any
from typing import Final

import msgspec

from teaselrock.protocol.decode_errors import DECODE_ERRORS
from teaselrock.protocol.json_parts import split_array
from teaselrock.protocol.json_parts import split_object

_ITEMS: Final = b'items'
_EVENTS: Final = b'events'
_OBJECT: Final = b'object'


def decode_page(text: bytes) -> Any:
    """Decode a list of objects or of changes.

    Members of an object that cannot be decoded are None. Raises one of
    `DECODE_ERRORS` or `SplitError` if the page itself is no such list.
    """
    try:
        return msgspec.json.decode(text)
    except DECODE_ERRORS:
        members = split_object(text)
    page = {
        name.decode(): msgspec.json.decode(value)
        for name, value in members.items()
        if name not in (_ITEMS, _EVENTS)
    }
    if _ITEMS in members:
        page['items'] = [
            _decode_object(item) for item in split_array(members[_ITEMS])
        ]
    if _EVENTS in members:
        page['events'] = [
            _decode_event(event) for event in split_array(members[_EVENTS])
        ]
    return page


def _decode_object(text: bytes) -> dict[str, Any]:
    return {
        name.decode(): _decode_or_none(value)
        for name, value in split_object(text).items()
    }


def _decode_event(text: bytes) -> dict[str, Any]:
    members = split_object(text)
    event = {
        name.decode(): _decode_or_none(value)
        for name, value in members.items()
        if name != _OBJECT
    }
    return {**event, 'object': _decode_object(members.get(_OBJECT, b'{}'))}


def _decode_or_none(text: bytes) -> Any:
    try:
        return msgspec.json.decode(text)
    except DECODE_ERRORS:
        return None
