"""``hawthorntrack``: the operators' and callers' command-line tool."""
