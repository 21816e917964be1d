import hypothesis
import logbook

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=60, database=None
)
hypothesis.settings.load_profile("ci")
logbook.NullHandler().push_application()
