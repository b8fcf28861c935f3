"""The ``bluebellbeam`` command."""

import sys
import time
from pathlib import Path

import click

from bluebellbeam import __version__
from bluebellbeam.utils.imports import (
    collection_paused,
    import_client_without_tls,
    import_server_without_tracebacks,
)

__all__ = ["main"]

# Commands import what they use, so that a daemon starts without the client and the
# reports.

_FILE = click.Path(dir_okay=False)
_LOG_FORMAT = click.option(
    "--log-format",
    type=click.Choice(["json", "console"]),
    default="console",
    show_default=True,
    help="JSON lines on standard output, or text on standard error.",
)


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="bluebellbeam")
def main():
    """Run a multi-region inference gateway, or query a running one."""


@main.command()
@click.argument("settings_file", type=_FILE, envvar="BLUEBELLBEAM_SETTINGS")
@_LOG_FORMAT
def serve(settings_file, log_format):
    """Run the daemon with the process settings in SETTINGS_FILE.

    Without the argument, the path is taken from the environment variable
    BLUEBELLBEAM_SETTINGS.

    Example: bluebellbeam serve examples/fraserleaf/burnaby-hall-settings.json
    """
    with collection_paused():
        import_client_without_tls()
        import_server_without_tracebacks()
        import uvloop

        from bluebellbeam.cli.files import load_settings
        from bluebellbeam.cli.logs import configure_logs
        from bluebellbeam.daemon import run_daemon
        from bluebellbeam.platform import make_platform

    settings = load_settings(settings_file)
    provider = make_platform(settings) if settings.store is not None else None
    drain = configure_logs(log_format)
    try:
        uvloop.run(run_daemon(settings, provider, settings_file, drain))
    except OSError as error:
        raise click.ClickException(f"cannot listen: {error}") from error


@main.command()
@click.option("--settings", "settings_file", type=_FILE, help="Process settings.")
@click.option("--base", "base_file", type=_FILE, help="Base file.")
@click.option(
    "--overlay", "overlays", type=_FILE, multiple=True, help="Overlay of a site."
)
@click.option(
    "--platform", "platform_file", type=_FILE, help="Configuration of a platform."
)
@click.option("--against", type=_FILE, help="Version to compare with.")
@click.option("--format", "output", type=click.Choice(["text", "json"]))
def check(settings_file, base_file, overlays, platform_file, against, output):
    """Validate and review settings, a base file and overlays.

    Every fault is printed with its JSON path and a suggested fix, and the
    exit code is 2 if there is any; warnings are printed on standard error.

    With --platform, --against or --format, errors, warnings and differences
    are printed on standard output, and the exit code is 0 without any, 1 with
    errors, 2 with warnings only and 3 with differences only.

    --platform checks a platform's configuration, with the store in --settings.
    --against compares with another base file, or with --platform another
    configuration of the platform.

    Example: bluebellbeam check --base next.json --against now.json
    """
    from bluebellbeam.cli import review
    from bluebellbeam.cli.files import load_effective, load_settings

    if not (settings_file or base_file or platform_file):
        raise click.UsageError("--settings, --base or --platform is required")
    if overlays and not base_file:
        raise click.UsageError("--overlay requires --base")
    if platform_file and (base_file or not settings_file):
        raise click.UsageError("--platform requires --settings and excludes --base")
    if against and not (base_file or platform_file):
        raise click.UsageError("--against requires --base or --platform")
    if platform_file or against or output:
        if platform_file:
            from bluebellbeam.platform.review import review_platform

            findings = review.review_platform_files(
                review_platform, settings_file, platform_file, against
            )
        else:
            findings = review.review_files(settings_file, base_file, overlays, against)
        click.echo(review.format_findings(findings, output or "text"))
        raise SystemExit(review.review_status(findings))
    if settings_file:
        load_settings(settings_file)
    if base_file:
        load_effective(base_file, overlays, "")
        for finding in review.review_files(None, base_file, overlays, None):
            click.echo(str(finding), err=True)
    click.echo("valid")


@main.group()
def config():
    """Inspect configurations."""


@config.command()
@click.option("--base", "base_file", type=_FILE, required=True, help="Base file.")
@click.option("--overlay", "overlays", type=_FILE, multiple=True, help="Overlay.")
@click.option("--site", required=True, help="Site whose overlay applies.")
def show(base_file, overlays, site):
    """Print the effective configuration of a site as JSON.

    Example: bluebellbeam config show --base base.json --overlay a.json --site a
    """
    import msgspec

    from bluebellbeam.cli.files import load_effective

    effective = load_effective(base_file, overlays, site)
    if site not in effective.base.sites:
        known = ", ".join(sorted(effective.base.sites))
        raise click.BadParameter(f"'{site}' is not among the sites: {known}")
    raw = msgspec.json.encode(effective.base)
    click.echo(msgspec.json.format(raw, indent=2).decode())


@main.command()
@click.option(
    "--base", "base_file", type=_FILE, required=True, help="Base file in force."
)
@click.option(
    "--overlay", "overlays", type=_FILE, multiple=True, help="Overlays in force."
)
@click.option("--new-base", type=_FILE, help="Base file to publish.")
@click.option("--new-overlay", "new_overlays", type=_FILE, multiple=True)
@click.option("--weight-store-mb-per-s", type=float, default=2000.0, show_default=True)
def plan(base_file, overlays, new_base, new_overlays, weight_store_mb_per_s):
    """Show what a new base file or new overlays would change.

    Only files are compared; no daemon is contacted.

    Example: bluebellbeam plan --base old.json --new-base new.json
    """
    from bluebellbeam.cli.files import load_effective
    from bluebellbeam.cli.plan import plan_lines

    before = load_effective(base_file, overlays, "")
    after = load_effective(new_base or base_file, new_overlays or overlays, "")
    sites = sorted(before.base.sites.keys() | after.base.sites.keys())
    pairs = [
        (
            site,
            load_effective(base_file, overlays, site).base,
            load_effective(new_base or base_file, new_overlays or overlays, site).base,
        )
        for site in sites
    ]
    lines = plan_lines(before.base, after.base, pairs, weight_store_mb_per_s)
    for line in lines:
        click.echo(line)


@main.command()
@click.option("--address", required=True, help="Operators' listener, ip:port.")
@click.option(
    "--table", "tables", multiple=True, help="Table to show; may be repeated."
)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--watch", type=float, help="Repeat at this interval in s.")
@click.option("--diff", "other", help="Compare with the daemon at this address.")
def state(address, tables, as_json, watch, other):
    """Dump the tables of a running daemon.

    Example: bluebellbeam state --address 127.0.0.1:7082 --table feeds
    """
    import msgspec

    from bluebellbeam.cli import client
    from bluebellbeam.cli.tables import diff_tables, format_tables

    query = "&".join(f"table={name}" for name in tables)
    path = f"/state?{query}" if query else "/state"
    while True:
        found = client.run_client(client.fetch_json(address, path))
        if other:
            other_tables = client.run_client(client.fetch_json(other, path))
            click.echo("\n".join(diff_tables(found, other_tables)) or "no difference")
        elif as_json:
            click.echo(msgspec.json.encode(found).decode())
        else:
            click.echo(format_tables(found))
        if not watch:
            return
        time.sleep(watch)
        click.clear()


@main.command()
@click.option("--address", required=True, help="Operators' listener, ip:port.")
@click.argument("request_id")
def explain(address, request_id):
    """Show the routing decisions of a recent request and the candidates of each."""
    from bluebellbeam.cli import client

    path = f"/explain/{request_id}"
    for step in client.run_client(client.fetch_json(address, path)):
        click.echo(f"{step['at_ms']} ms  {step['kind']} {' '.join(step['detail'])}")
        for item in step["candidates"]:
            estimate = item["estimate"]
            click.echo(
                f"    {item['server']}  score {item['score']:.1f} ms  "
                f"first token {estimate['first_token_ms']:.1f} ms  "
                f"cached {item['cached_tokens']} tokens  cost {estimate['cost']:.3f}"
            )


_KEY = click.option(
    "--key", envvar="BLUEBELLBEAM_KEY", required=True, help="Bearer key of the caller."
)
_CALLER = click.option("--address", required=True, help="Callers' listener, ip:port.")


@main.command()
@_CALLER
@_KEY
def entry(address, key):
    """List the entry VMs that a caller should use, best first."""
    from bluebellbeam.cli import client

    found = client.run_client(client.fetch_json(address, "/v1/entry", key))
    for item in found["entries"]:
        click.echo(item)
    click.echo(f"valid for {found['ttl_ms']} ms", err=True)


@main.group()
def request():
    """Send one request as a caller."""


@request.command()
@_CALLER
@_KEY
@click.option("--model", required=True, help="Model or adapter.")
@click.option("--max-tokens", type=click.IntRange(1), default=64, show_default=True)
@click.argument("prompt")
def chat(address, key, model, max_tokens, prompt):
    """Send PROMPT as a chat and print the streamed answer.

    Example: bluebellbeam request chat --address 127.0.0.1:7080 --model inspect hello
    """
    from bluebellbeam.cli import client

    def write(text):
        click.echo(text, nl=False)
        sys.stdout.flush()

    client.run_client(client.send_chat(address, key, model, prompt, max_tokens, write))
    click.echo()


@request.command()
@_CALLER
@_KEY
@click.option("--data", default="", help="Body of the call.")
@click.option("--operation-id", default="", help="Operation id issued earlier.")
@click.argument("method")
@click.argument("service")
@click.argument("path")
def call(address, key, data, operation_id, method, service, path):
    """Call PATH of a plain SERVICE with METHOD.

    Example: bluebellbeam request call --address 127.0.0.1:7080 GET portal /status/7
    """
    from bluebellbeam.cli import client

    coroutine = client.send_call(
        address, key, method.upper(), service, path, data, operation_id
    )
    click.echo(client.run_client(coroutine))


@main.command("read-logs")
@click.argument("log_files", type=click.File(), nargs=-1, required=True)
@click.option(
    "--step-s", type=click.FloatRange(min=0.1), default=2.0, show_default=True
)
@click.option("--request", "request_id", help="Only the lines of this request.")
def read_logs(log_files, step_s, request_id):
    """Summarize the daemons' LOG_FILES by interval of time or by request.

    Example: bluebellbeam read-logs vm-1.log vm-2.log --request 5bf2c9a01
    """
    from bluebellbeam.cli.log_summary import (
        parse_log_lines,
        request_lines,
        summary_lines,
    )

    entries = [item for lines in log_files for item in parse_log_lines(lines)]
    if request_id:
        found = request_lines(entries, request_id)
    else:
        found = summary_lines(entries, int(step_s * 1000))
    for line in found:
        click.echo(line)


@main.command()
@click.option("--user", type=click.Choice(["fraserleaf", "fellesdepot"]))
def demo(user):
    """Start the example deployments on loopback and send requests to them."""
    import uvloop

    from bluebellbeam.cli.logs import configure_logs
    from bluebellbeam.demo import run_demo
    from bluebellbeam.examples import EXAMPLES

    configure_logs("console", "error")
    names = (user,) if user else tuple(EXAMPLES)
    if not uvloop.run(run_demo(names)):
        raise click.ClickException(
            "some requests got no complete answer, or a change took effect twice"
        )


@main.command()
@click.option("--port", type=int, default=7090, show_default=True)
@click.option("--user", default="fraserleaf", show_default=True)
def standins(port, user):
    """Serve the platform and backend server stand-ins of an example.

    They are meant for running a daemon by hand; see examples/README.md.
    """
    import uvloop

    from bluebellbeam.cli.logs import configure_logs
    from bluebellbeam.cli.standins import run_standins

    configure_logs("console")
    uvloop.run(run_standins(user, port))


@main.command()
@click.argument("shell", type=click.Choice(["bash", "zsh", "fish"]))
def completion(shell):
    """Print the completion script for SHELL."""
    from click.shell_completion import get_completion_class

    kind = get_completion_class(shell)
    click.echo(kind(main, {}, "bluebellbeam", "_BLUEBELLBEAM_COMPLETE").source())


@main.command("write-references", hidden=True)
@click.argument("folder", type=click.Path(file_okay=False))
def write_references(folder):
    """Write the configuration and error references into FOLDER."""
    from bluebellbeam.cli.reference import configuration_reference, error_reference

    Path(folder, "CONFIGURATION.md").write_text(configuration_reference())
    Path(folder, "ERRORS.md").write_text(error_reference())
