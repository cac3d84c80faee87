"""Commands on settings files; they need no daemon."""

import argparse

import msgspec

from dotterelbridge import settings_reference
from dotterelbridge.cli import output
from dotterelbridge.cli.environment import Environment
from dotterelbridge.cli.exit_status import ExitStatus
from dotterelbridge.settings import SettingsFaults
from dotterelbridge.settings import load_settings


def check_config(args: argparse.Namespace, env: Environment) -> ExitStatus:
    """Report every fault of a settings file."""
    try:
        settings = load_settings(args.file)
    except SettingsFaults as error:
        env.print_error("dotterelbridge", str(error))
        return ExitStatus.REFUSED
    env.stdout.write(
        f"{args.file}: no faults; VM {settings.daemon.vm}, "
        f"{len(settings.vms())} VMs, {len(settings.targets())} targets, "
        f"{len(settings.voters())} voters\n"
    )
    return ExitStatus.OK


def list_options(args: argparse.Namespace, env: Environment) -> ExitStatus:
    """Print the options of all sections, or of one."""
    if args.markdown:
        env.stdout.write(settings_reference.render_markdown())
        return ExitStatus.OK
    known = settings_reference.list_sections()
    if args.section and args.section not in known:
        env.print_error(
            "dotterelbridge",
            f"there is no section {args.section!r}; "
            f"name one of {', '.join(known)}",
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
