"""Commands on settings files; no daemon is needed."""

import argparse

import msgspec

from dotterelbridge import settings_reference
from dotterelbridge.cli import output
from dotterelbridge.cli.environment import Environment
from dotterelbridge.cli.exit_status import ExitStatus
from dotterelbridge.nodes.settings import load_node_settings
from dotterelbridge.settings import SettingsFaults
from dotterelbridge.settings import load_settings
from dotterelbridge.settings import parse_ini_file


def check_config(args: argparse.Namespace, env: Environment) -> ExitStatus:
    """Report every fault in the settings file of a daemon or a node."""
    is_node = parse_ini_file(args.file).has_section("node")
    summarize = _summarize_node if is_node else _summarize_daemon
    try:
        summary = summarize(args.file)
    except SettingsFaults as error:
        env.print_error("dotterelbridge", str(error))
        return ExitStatus.REFUSED
    env.stdout.write(f"{args.file}: no faults; {summary}\n")
    return ExitStatus.OK


def _summarize_daemon(path: str) -> str:
    settings = load_settings(path)
    return (
        f"VM {settings.daemon.vm}, "
        f"{len(settings.list_vms())} VMs, "
        f"{len(settings.list_targets())} targets, "
        f"{len(settings.list_voters())} voters"
    )


def _summarize_node(path: str) -> str:
    settings = load_node_settings(path)
    return (
        f"VM {settings.node.name}, role {settings.node.role.value}, "
        f"{len(settings.list_seeds())} seeds, "
        f"{len(settings.regions)} failure domains"
    )


def list_options(args: argparse.Namespace, env: Environment) -> ExitStatus:
    """Print the options of all sections, or of one."""
    if args.markdown:
        env.stdout.write(settings_reference.render_markdown())
        return ExitStatus.OK
    section_names = settings_reference.list_sections()
    if args.section and args.section not in section_names:
        env.print_error(
            "dotterelbridge",
            f"there is no section {args.section!r}; "
            f"name one of {', '.join(section_names)}",
        )
        return ExitStatus.USAGE
    rows = [
        msgspec.to_builtins(option)
        for option in settings_reference.list_options()
        if args.section in (None, option.section)
    ]
    columns = ("section", "name", "allowed", "default", "meaning")
    output.print_rows(env, args.output, columns, rows)
    return ExitStatus.OK
