"""Commands on settings files; they need no daemon."""

import argparse

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
