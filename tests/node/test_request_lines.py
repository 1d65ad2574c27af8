"""Request lines that a node sends on: of the client's line, only its wait is replaced."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from larchlatch.node.wire.lines import Opening, attempt_line, parse_opening, request_line

WORDS = st.text(st.characters(blacklist_categories=["C", "Z"]), min_size=1, max_size=12)
TRAPS = st.sampled_from([",d=28230000", "d=1", "aaaa,d=99990000", "c=chat,d=7", "=,=,d=", "OPEN", "é,d=3"])
WORD = st.one_of(WORDS, TRAPS).filter(lambda word: word.isprintable() and " " not in word)
VALUE = WORD.map(lambda word: word.replace(",", "")).filter(bool)
OTHER_ITEMS = st.dictionaries(st.sampled_from(["t", "g", "dd", "x", "xd", "id"]), VALUE, max_size=4)


@st.composite
def requests(draw: st.DrawFn) -> tuple[str, str, str]:
    """Return the parts of a valid request: the text before the value of its wait, that value, the rest."""
    items = [f"{name}={value}" for name, value in {**draw(OTHER_ITEMS), "c": "chat"}.items()]
    items = draw(st.permutations(items))
    place = draw(st.integers(0, len(items)))
    wait = str(draw(st.integers(0, 999_999_999)))
    before = "".join(f"{item}," for item in items[:place])
    after = "".join(f",{item}" for item in items[place:])
    return f"OPEN {draw(WORD)} {draw(WORD)} {before}d=", wait, after


@settings(derandomize=True, max_examples=400, deadline=None)
@given(requests(), st.integers(-5_000_000, 5_000_000))
def test_only_the_wait_of_a_request_is_replaced(request: tuple[str, str, str], wait_us: int) -> None:
    """An id or key with `,d=` in it reached the upstream with other digits, as a line that no client sent."""
    before, wait, after = request
    opening = parse_opening(f"{before}{wait}{after}\r\n".encode())
    assert isinstance(opening, Opening)
    assert opening.wait_ms == int(wait)
    sent_wait_ms = max(1, wait_us // 1000)
    assert attempt_line(opening, wait_us) == f"{before}{sent_wait_ms}{after}\r\n".encode()
    if int(wait):
        assert request_line(opening) == f"{before}{wait}{after}\r\n".encode()


def test_the_key_of_a_request_is_sent_on_unchanged() -> None:
    """The line of the review: the upstream got another key than the client's, and the client's own wait."""
    line = b"OPEN 9b1f aaaa,d=99990000 d=2000,c=chat,t=acme\r\n"
    opening = parse_opening(line)
    assert isinstance(opening, Opening) and opening.key == "aaaa,d=99990000"
    assert attempt_line(opening, 1_500_000) == b"OPEN 9b1f aaaa,d=99990000 d=1500,c=chat,t=acme\r\n"
