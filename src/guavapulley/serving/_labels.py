"""Labels of requests and regions of callers."""

from guavapulley import lookup
from guavapulley import model
from guavapulley.serving import _errors


def parse_labels(text: str) -> dict[str, str]:
    """Parses the header `Guavapulley-Labels`.

    >>> parse_labels("shop = 12, tier=gold")
    {'shop': '12', 'tier': 'gold'}

    Raises:
        ServingError: The text is malformed or has too many labels.
    """
    label_texts = [
        label_text.strip()
        for label_text in text.split(",")
        if label_text.strip()
    ]
    pairs = [label_text.partition("=") for label_text in label_texts]
    labels = {key.strip(): value.strip() for key, _, value in pairs}
    sizes = (len(part) for pair in labels.items() for part in pair)
    if (
        len(label_texts) > model.MAX_LABELS
        or not all(key and equals for key, equals, _ in pairs)
        or max(sizes, default=0) > model.MAX_LABEL_CHARS
    ):
        raise _errors.ServingError(
            _errors.LABELS_INVALID,
            f"labels have the form `key=value, ...`, at most"
            f" {model.MAX_LABELS} of {model.MAX_LABEL_CHARS} characters",
            not_run=True,
        )
    return labels


def automatic_labels(
    request: model.SteeredRequest, service: model.Service, region: str
) -> dict[str, str]:
    """Returns the labels that the entry sets and callers cannot override."""
    return {
        "service": service.name,
        "method": request.method,
        "class": service.traffic_class.value,
        "region": region,
    }


class CallerRegionResolver:
    """Maps the addresses of callers to regions by the client blocks.

    The table is rebuilt when the configuration has a new revision.

    Args:
        default: Region of callers outside of all blocks; the entry's own.
    """

    def __init__(self, default: str) -> None:
        self.default = default
        self.revision = -1
        self.client_blocks = lookup.ClientBlockTable()

    def resolve(self, host: str, configuration: model.Configuration) -> str:
        """Returns the region of a caller's address.

        An address that cannot be parsed is in the default region.
        """
        if configuration.revision != self.revision:
            objects = configuration.objects
            self.client_blocks = lookup.ClientBlockTable.from_blocks(
                config_object
                for config_object in objects
                if isinstance(config_object, model.ClientBlock)
            )
            self.revision = configuration.revision
        try:
            return self.client_blocks.find(host) or self.default
        except ValueError:
            return self.default
