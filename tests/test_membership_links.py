"""Choice of the peers that a VM dials."""

from dotterelbridge.peers.websocket_network import choose_peers_to_dial
from tests.placement_fakes import create_vm

VMS = [create_vm(f"{d}-{v}", d) for d in "abc" for v in range(3)]


def test_domains_without_voters_are_connected():
    own = VMS[0]
    dialled = choose_peers_to_dial(own, VMS, ["c-0"])
    assert {"a-1", "a-2", "c-0"} <= dialled
    assert any(name.startswith("b-") for name in dialled)


def test_links_between_domains_are_spread_over_the_vms():
    dialled = [choose_peers_to_dial(own, VMS, []) for own in VMS[:3]]
    others = [{n for n in names if n[0] == "b"} for names in dialled]
    assert sorted(map(sorted, others)) == [["b-0"], ["b-1"], ["b-2"]]
