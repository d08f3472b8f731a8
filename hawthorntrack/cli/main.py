"""Command ``hawthorntrack``: the operators' command-line tool."""

import click

from hawthorntrack import __version__
from hawthorntrack.cli.configurations import configuration
from hawthorntrack.cli.context import Context
from hawthorntrack.cli.documents import document
from hawthorntrack.cli.fleet import guard, status, zone
from hawthorntrack.cli.jobs import job
from hawthorntrack.state.documents import ENVIRONMENTS


@click.group()
@click.version_option(__version__)
@click.option(
    "--table",
    "table_url",
    envvar="HAWTHORNTRACK_TABLE",
    default="http://127.0.0.1:7000",
    show_default=True,
    help="Address of the platform's table service.",
)
@click.option(
    "--environment",
    envvar="HAWTHORNTRACK_ENVIRONMENT",
    type=click.Choice(ENVIRONMENTS),
    default="production",
    show_default=True,
    help="The environment that zones, status, guards and jobs are of.",
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON, for scripts.")
@click.option("--timeout", default=2.0, show_default=True, help="Seconds for one call.")
@click.pass_context
def main(
    context: click.Context,
    table_url: str,
    environment: str,
    as_json: bool,
    timeout: float,
) -> None:
    """Operate hawthorntrack: documents, zones, status and jobs.

    \b
    A service's document goes from trial to production:
      hawthorntrack document check visits.yaml
      hawthorntrack document put visits.yaml --in trial
      hawthorntrack document diff visits
      hawthorntrack document promote visits
    A data centre leaves and returns:
      hawthorntrack zone out recife --wait
      hawthorntrack zone back recife --wait

    \b
    Exit codes: 0 done; 1 failed, or the job is not complete; 2 the input is wrong;
    3 a conflict with another operator; 4 the table or a process does not answer;
    5 not confirmed within the limit.
    """
    context.obj = Context(table_url, environment, as_json, timeout)


for group in (document, configuration, zone, status, guard, job):
    main.add_command(group)

if __name__ == "__main__":
    main()
