"""Reads pages of the store's lists, and responses to watches, as far as possible.

Another writer may have stored an object that isn't decodable, such as half of a
surrogate pair, or values that are nested too deep. The others hold.
"""

import json
from typing import ClassVar

import msgspec

from vanillareach.platform.documents import UNDECODABLE, DocumentError, Int64
from vanillareach.platform.json_text import JsonBudgetError, JsonReader, find_value

# Of an object that can't be read.
MAX_DESCRIBED_BYTES = 80
# Brackets of one object, and values and brackets of a page, that are read in one go. A
# page of 500 entries has some 7,000.
MAX_ITEM_TOKENS = 10_000
MAX_PAGE_TOKENS = 20_000
# Of names in the addresses of calls.
MAX_NAME_BYTES = 4_096


class MetadataDocument(msgspec.Struct):
    """Identity and revision of an object."""

    name: str
    rev: Int64 = 0


class ObjectDocument(msgspec.Struct):
    """An object, whose `spec` is decoded later according to its kind."""

    metadata: MetadataDocument
    spec: msgspec.Raw = msgspec.Raw(b"null")

    @property
    def object_name(self):
        """Name of the object."""
        return self.metadata.name


class PageDocument(msgspec.Struct):
    """One page of a list; `at` is the store's revision, `more` that one follows."""

    ITEM_TYPE: ClassVar = ObjectDocument
    # Keys that lead from an item to its object.
    OBJECT_PATH: ClassVar = ()

    items: list[ObjectDocument]
    at: Int64
    more: bool = False


class EventDocument(msgspec.Struct):
    """One change to an object of a watched kind."""

    object: ObjectDocument
    deleted: bool = False

    @property
    def object_name(self):
        """Name of the object."""
        return self.object.metadata.name


class WatchDocument(msgspec.Struct):
    """Response to a watch; the next watch starts from revision `at`."""

    ITEM_TYPE: ClassVar = EventDocument
    OBJECT_PATH: ClassVar = (b'"object"',)

    events: list[EventDocument]
    at: Int64


class UnreadableItem:
    """Item of a list or watch that can't be decoded.

    Attributes
    ----------
    name : str or None
        Name of its object; None if that can't be read either.
    raw_name : bytes or None
        Text of the name as the store sent it; None if there is none.
    is_deleted : bool or None
        Whether an event says that the object was deleted; None if that can't be read.
    description : str
    """

    __slots__ = ("description", "is_deleted", "name", "raw_name")

    def __init__(self, text, object_path, cause):
        self.raw_name = find_value(
            text, (*object_path, b'"metadata"', b'"name"'), MAX_ITEM_TOKENS
        )
        self.name = _decode_or_none(self.raw_name, str)
        self.is_deleted = None
        # Items of lists are objects, which have no such field.
        if object_path:
            is_deleted = find_value(text, (b'"deleted"',), MAX_ITEM_TOKENS)
            self.is_deleted = _decode_or_none(is_deleted, bool)
        beginning = text[:MAX_DESCRIBED_BYTES].decode("utf-8", "replace")
        self.description = f"{beginning}: {cause}"

    @property
    def raw_cursor(self):
        """Bytes of the name, after which a list may go on; None if unknown."""
        raw = self.raw_name
        if raw is None or len(raw) > MAX_NAME_BYTES:
            return None
        if not raw.startswith(b'"'):
            return raw
        if b"\\" not in raw:
            return raw[1:-1]
        try:
            name = json.loads(raw.decode("utf-8", "surrogateescape"), strict=False)
        except ValueError:
            return None
        return name.encode("utf-8", "surrogatepass")


class PageItems:
    """What of the items of a page, or of the response to a watch, could be read.

    Attributes
    ----------
    decoded : list
        In order.
    unreadable : list of UnreadableItem
    is_cut : bool
        Whether the rest was left out, as it would take too long to read.
    """

    __slots__ = ("_last_name", "decoded", "is_cut", "unreadable")

    def __init__(self):
        self.decoded = []
        self.unreadable = []
        self.is_cut = False
        self._last_name = None

    @property
    def cursor(self):
        """Name after which the list goes on, a str, or bytes that stand for one.

        It is the last name that can be read, or else the `raw_cursor` of the last item.
        None if that isn't known either.
        """
        if self._last_name is not None or not self.unreadable:
            return self._last_name
        return self.unreadable[-1].raw_cursor

    def add(self, item):
        """Add a decoded item."""
        self.decoded.append(item)
        self._last_name = item.object_name

    def add_unreadable(self, item):
        """Add an `UnreadableItem`."""
        self.unreadable.append(item)
        if item.name is not None:
            self._last_name = item.name


class DecodedPage:
    """A page of a list, or the response to a watch.

    Attributes
    ----------
    items : PageItems
    at : int
        The store's revision; 0 if the items are cut.
    more : bool
        Whether another page follows.
    """

    __slots__ = ("at", "items", "more")

    def __init__(self, items, at, more):
        self.items = items
        self.at = at
        self.more = more


def decode_page(data, page_type):
    """Decode a page of a list, or a response to a watch, as far as it can be read.

    Parameters
    ----------
    data : bytes
    page_type : type
        Its first field is the list, of the type `ITEM_TYPE`.

    Returns
    -------
    DecodedPage

    Raises
    ------
    DocumentError
        If it is no page.
    """
    try:
        page = msgspec.json.decode(data, type=page_type)
    except UNDECODABLE:
        pass
    else:
        items = PageItems()
        for item in getattr(page, page_type.__struct_fields__[0]):
            items.add(item)
        return DecodedPage(items, page.at, _has_more(page))
    try:
        return _decode_by_item(data, page_type)
    except (ValueError, *UNDECODABLE) as error:
        raise DocumentError(str(error)) from error


def _decode_by_item(data, page_type):
    list_key = f'"{page_type.__struct_fields__[0]}"'.encode()
    reader = JsonReader(data, MAX_ITEM_TOKENS)
    items, others = None, []
    for key in reader.members():
        if key == list_key:
            items = _read_items(reader, data, page_type)
            if items.is_cut:
                return DecodedPage(items, 0, True)
        else:
            others.append(key + b":" + reader.read_value())
    if items is None:
        raise DocumentError(f"{list_key.decode()} missing")
    head = b"{%s}" % b",".join([list_key + b":[]", *others])
    page = msgspec.json.decode(head, type=page_type)
    return DecodedPage(items, page.at, _has_more(page))


def _read_items(reader, data, page_type):
    """Return the `PageItems` of the array that begins at the reader's position."""
    items = PageItems()
    for _ in reader.elements():
        begin = reader.position
        if reader.token_count > MAX_PAGE_TOKENS:
            items.is_cut = True
            break
        try:
            text = reader.read_value()
            items.add(msgspec.json.decode(text, type=page_type.ITEM_TYPE))
        except JsonBudgetError as error:
            # Where the item ends isn't known.
            text = data[begin:]
            items.add_unreadable(UnreadableItem(text, page_type.OBJECT_PATH, error))
            items.is_cut = True
            break
        except UNDECODABLE as error:
            items.add_unreadable(UnreadableItem(text, page_type.OBJECT_PATH, error))
    return items


def _has_more(page):
    return getattr(page, "more", False)


def _decode_or_none(text, expected_type):
    if text is None or len(text) > MAX_NAME_BYTES:
        return None
    try:
        return msgspec.json.decode(text, type=expected_type)
    except UNDECODABLE:
        return None
