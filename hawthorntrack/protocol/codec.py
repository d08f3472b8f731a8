"""Encodes and decodes the messages that the system's own processes exchange."""

from typing import Any, NamedTuple, Protocol

import msgspec

from hawthorntrack.protocol import run_messages  # noqa: F401  (registers types)
from hawthorntrack.protocol.messages import Envelope, messages
from hawthorntrack.state.registry import Registry
from hawthorntrack.state.values import Incarnation


class BadMessage(ValueError):
    """Bytes that do not encode a message; `reason` is the label of the counter."""

    def __init__(self, reason: str, detail: str) -> None:
        self.reason = reason
        super().__init__(f"{detail}. Check that both processes run the same release.")


class Frame(NamedTuple):
    """The outer frame; `body` is decoded after `tag` gives its type."""

    tag: str
    address: str
    nonce: str
    stamp: int
    body: msgspec.Raw


class Codec(Protocol):
    """Encodes envelopes to bytes and decodes them."""

    def encode(self, envelope: Envelope) -> bytes:
        """Return the encoding of an envelope."""

    def decode(self, data: bytes) -> Envelope:
        """Return the envelope that `data` encodes, or raise `BadMessage`."""


codecs: Registry[Codec] = Registry("codec")


class MsgspecCodec:
    """A codec over one of msgspec's formats.

    Parameters
    ----------
    format_module : module
        ``msgspec.msgpack`` or ``msgspec.json``.

    Examples
    --------
    >>> from hawthorntrack.protocol.messages import Pending
    >>> envelope = Envelope(Incarnation("127.0.0.1:1", "a"), 7, Pending("r1"))
    >>> codecs["json"].decode(codecs["json"].encode(envelope)) == envelope
    True
    """

    def __init__(self, format_module: Any) -> None:
        self.encoder = format_module.Encoder()
        self.frame_decoder = format_module.Decoder(Frame)
        self.body_decoders = {
            name: format_module.Decoder(messages[name]) for name in messages
        }
        self.tags = {messages[name]: name for name in messages}

    def encode(self, envelope: Envelope) -> bytes:
        """Return the encoding of an envelope."""
        sender = envelope.sender
        tag = self.tags[type(envelope.body)]
        return self.encoder.encode(
            (tag, sender.address, sender.nonce, envelope.stamp, envelope.body)
        )

    def decode(self, data: bytes) -> Envelope:
        """Return the envelope that `data` encodes.

        Raises
        ------
        BadMessage
            If `data` is not a frame, its message type is unknown, or its body does
            not match the type.
        """
        try:
            frame = self.frame_decoder.decode(data)
            body = self.body_decoders[frame.tag].decode(frame.body)
        except KeyError as error:
            raise BadMessage("unknown_type", f"unknown message type {error}") from error
        except (msgspec.DecodeError, ValueError, RecursionError) as error:
            raise BadMessage("malformed", str(error)) from error
        return Envelope(Incarnation(frame.address, frame.nonce), frame.stamp, body)


codecs.register("msgpack")(MsgspecCodec(msgspec.msgpack))
codecs.register("json")(MsgspecCodec(msgspec.json))
