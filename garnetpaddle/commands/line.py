"""The command line on click. Each command imports its implementation only when it runs."""

import os

import click

from garnetpaddle import __version__
from garnetpaddle.commands.advice import advice
from garnetpaddle.commands.rehearse import rehearse

OPERATOR = click.option(
    "--operator",
    metavar="FILE",
    envvar="GARNET_OPERATOR",
    help="The operator's own file, in HCL, for further front ends. Default: GARNET_OPERATOR, else none.",
)


@click.group(help="A traffic director for a fleet of sidecars.", context_settings={"max_content_width": 110})
def commands():
    pass


@commands.command(
    epilog="ROUTER_CONFIG is the path of its configuration, a JSON file; ROUTER_NAME, ROUTER_LISTEN and "
    "ROUTER_DISCOVERY must agree with it if they are set."
)
@click.option("--trace", is_flag=True, help="Print every event and order, for debugging.")
@OPERATOR
@click.pass_context
def serve(context, trace, operator):
    """Run one assigner until SIGTERM; logs to standard output."""
    from garnetpaddle.commands.serve import serve

    return serve(trace, operator, context.obj)


@commands.command()
@click.argument("file", required=False)
@OPERATOR
def check(file, operator):
    """Validate a configuration without starting anything; exit 0, or 2 and name the field.

    FILE is the JSON file; default: ROUTER_CONFIG."""
    from garnetpaddle.commands.serve import read_files

    files = read_files(file or os.environ.get("ROUTER_CONFIG"), operator, os.environ)
    if isinstance(files, int):
        return files
    platform, operator_configuration, path = files
    print(
        f"{path}: fine; {platform.name} listens at {platform.listen}, "
        f"knows {len(platform.known.instances)} tasks"
    )
    if operator_configuration:
        fronts = (
            ", ".join(
                f"{front.name} at {front.listen}"
                for front in (*operator_configuration.sasp, *operator_configuration.dfp)
            )
            or "none"
        )
        print(
            f"{operator}: fine; followers {len(operator_configuration.followers)}, "
            f"groups {len(operator_configuration.groups)}; {fronts}"
        )
    return 0


@commands.command()
def version():
    """Print the version."""
    print(__version__)
    return 0


commands.add_command(advice)
commands.add_command(rehearse)


def main(arguments, startup_signals=None):
    """Runs a command; returns its exit code. startup_signals: passed by `serve` to its event loop.

    With standalone_mode=False, click returns the command's return value and raises its errors, instead of
    ending the process."""
    try:
        code = commands.main(
            list(arguments), prog_name="garnetpaddle", standalone_mode=False, obj=startup_signals
        )
        return code or 0
    except click.exceptions.Exit as exit_request:
        return exit_request.exit_code
    except click.ClickException as error:
        error.show()
        return error.exit_code
    except click.Abort:
        return 1
