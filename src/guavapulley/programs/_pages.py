"""Self-contained HTML pages.

Their content security policy forbids scripts and external resources, whatever
text they show.
"""

from collections.abc import Iterable

_HEAD = """\
<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta http-equiv="Content-Security-Policy"
 content="default-src 'none'; style-src 'unsafe-inline'">
<title>{title}</title>
<style>
{style}</style>
</head>
<body>
"""


def render_page(title: str, style: str, body: Iterable[str]) -> str:
    """Returns the HTML text of a page.

    Args:
        title: Title of the page, as HTML.
        style: Style sheet, ending with a line break.
        body: Lines of HTML.
    """
    return _HEAD.format(title=title, style=style) + "\n".join(
        [*body, "</body>", "</html>", ""]
    )
