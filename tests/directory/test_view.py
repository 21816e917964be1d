"""The view of a process never moves backwards, in any order of updates."""

from hypothesis import given
from hypothesis import strategies as st

from magnoliacove import configuration
from magnoliacove import directory
from magnoliacove import timeline


def _make_history(length):
    documents, changes = [configuration.Document()], []
    for number in range(length):
        put = configuration.Put(
            configuration.ClientAccount(f"a{number % 3}", (), number + 1.0)
        )
        change = documents[-1].propose(str(number), "ann", 0, (put,)).unwrap()
        changes.append(change)
        documents.append(documents[-1].apply(change))
    return documents, changes


_DOCUMENTS, _CHANGES = _make_history(12)
_UPDATES = st.lists(st.tuples(st.booleans(), st.integers(0, 11)), max_size=40)


@given(_UPDATES)
def test_configuration_version_never_decreases(updates):
    """Documents and changes arrive late, twice and out of order.

    The active version never decreases, and the document of each version is
    the one that was accepted.
    """
    view = directory.View(timeline.Recorder("p"))
    before = 0
    for is_document, number in updates:
        if is_document:
            view.adopt_document(_DOCUMENTS[number], "a peer")
        else:
            view.adopt_change(_CHANGES[number], "a peer")
        assert view.version >= before
        before = view.version
        assert view.document == _DOCUMENTS[view.version]
        kept = view.changes_after(max(0, view.version - 2))
        assert kept is None or [c.version for c in kept] == list(
            range(max(0, view.version - 2) + 1, view.version + 1)
        )


_ENTRIES = st.lists(
    st.builds(
        directory.Instance,
        st.sampled_from(["a", "b"]),
        st.just("agent"),
        st.integers(0, 3),
        st.just("127.0.0.1:1"),
        st.just("gent-a"),
        st.integers(0, 3),
        st.sampled_from(["live", "leaving", "gone"]),
    ),
    max_size=12,
    unique_by=lambda entry: (entry.name, entry.rank),
)


@given(_ENTRIES, st.randoms())
def test_directory_does_not_depend_on_the_order(entries, rng):
    views = []
    for _ in range(2):
        view = directory.View(timeline.Recorder("p"))
        shuffled = [*entries, *entries]
        rng.shuffle(shuffled)
        for entry in shuffled:
            view.adopt_entries([entry])
        views.append(sorted(map(repr, view.list_entries())))
    assert views[0] == views[1]


def test_forked_history_is_rejected():
    """A peer has a different document with the version that is active here."""
    view = directory.View(timeline.Recorder("p"))
    view.adopt_document(_DOCUMENTS[1], "the store")
    put = configuration.Put(configuration.ClientAccount("other"))
    empty = configuration.Document()
    fork = empty.apply(empty.propose("f", "eve", 0, (put,)).unwrap())
    view.adopt_document(fork, "a peer")
    assert view.forked
    assert view.document == _DOCUMENTS[1]
