"""Values of rule words: how each kind is read and written."""

import abc
import datetime
import decimal
import re

ANY = "*"
NAME = re.compile(r"[\w@][\w.@-]*")


class Value(abc.ABC):
    """One kind of value behind ``key=``."""

    #: What an error says was expected.
    expected: str

    @abc.abstractmethod
    def read(self, text: str):
        """Return the value, or None when the text is wrong."""

    def write(self, value) -> str:
        """Return the text that reads as the value."""
        return str(value)


class Name(Value):
    """A name of letters of any script, digits and ``_ @ . -``.

    The last two do not begin a name.
    """

    expected = "a name"

    def read(self, text: str) -> str | None:
        """Return the name."""
        return text if NAME.fullmatch(text) else None


class NameOrAny(Name):
    """A name, or ``*`` for all that no other line names."""

    expected = "a name or *"

    def read(self, text: str) -> str | None:
        """Return the name or ``*``."""
        return text if text == ANY else super().read(text)


class Names(Value):
    """Names parted by commas, or ``*`` for all."""

    expected = "names parted by commas, each once, or *"

    def read(self, text: str) -> tuple[str, ...] | None:
        """Return the names."""
        if text == ANY:
            return (ANY,)
        names = tuple(text.split(","))
        if len(set(names)) != len(names):
            return None
        return names if all(map(NAME.fullmatch, names)) else None

    def write(self, value: tuple[str, ...]) -> str:
        """Return the names parted by commas."""
        return ",".join(value)


class Moment(Value):
    """A point in time with its offset from UTC."""

    expected = "a time with its zone, as 2026-12-05T18:00:00Z"

    def read(self, text: str) -> datetime.datetime | None:
        """Return the time."""
        try:
            moment = datetime.datetime.fromisoformat(text)
        except ValueError:
            # The caller reports what was expected, with the line.
            return None
        return moment if moment.tzinfo else None

    def write(self, value: datetime.datetime) -> str:
        """Return the time in ISO 8601."""
        return value.isoformat().replace("+00:00", "Z")


class Measure(Value):
    """A number that isn't negative, with its unit behind it."""

    unit: str
    #: The number is divided by this to give the value.
    scale = 1

    def read(self, text: str) -> float | None:
        """Return the number in the value's own unit."""
        number = text.removesuffix(self.unit)
        if number == text or not re.fullmatch(r"[0-9]+(\.[0-9]+)?", number):
            return None
        return float(decimal.Decimal(number) / self.scale)

    def write(self, value: float) -> str:
        """Return the number with its unit."""
        return f"{round(value * self.scale, 9):.12g}{self.unit}"


class Share(Measure):
    """A share in percent, read as a number up to 1."""

    expected = "a share above 0% and up to 100%"
    unit = "%"
    scale = 100

    def read(self, text: str) -> float | None:
        """Return the share, from above 0 to 1."""
        share = super().read(text)
        return share if share and share <= 1 else None


class Rate(Measure):
    """A rate above zero, in requests a second."""

    expected = "a rate above zero such as 20/s"
    unit = "/s"

    def read(self, text: str) -> float | None:
        """Return the rate."""
        return super().read(text) or None


class Seconds(Measure):
    """A time above zero, in seconds."""

    expected = "seconds above zero such as 2s"
    unit = "s"

    def read(self, text: str) -> float | None:
        """Return the seconds."""
        return super().read(text) or None


class Number(Value):
    """A whole number of at most three digits."""

    expected = "a whole number from -999 to 999"

    def read(self, text: str) -> int | None:
        """Return the number."""
        return int(text) if re.fullmatch(r"-?[0-9]{1,3}", text) else None


class Count(Value):
    """A whole number above zero of at most four digits."""

    expected = "a whole number from 1 to 9999"

    def read(self, text: str) -> int | None:
        """Return the number."""
        if not re.fullmatch(r"[0-9]{1,4}", text):
            return None
        return int(text) or None


class YesNo(Value):
    """Yes or no."""

    expected = "yes or no"

    def read(self, text: str) -> bool | None:
        """Return True for yes."""
        return {"yes": True, "no": False}.get(text)

    def write(self, value: bool) -> str:
        """Return yes or no."""
        return "yes" if value else "no"
