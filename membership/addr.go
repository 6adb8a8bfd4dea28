package membership

import (
	"encoding/binary"
	"net/netip"
)

// appendAddr encodes an IP address of 4 or 16 bytes and a port.
func appendAddr(b []byte, a netip.AddrPort) []byte {
	ip := a.Addr().Unmap()
	b = append(b, ip.AsSlice()...)
	return binary.BigEndian.AppendUint16(b, a.Port())
}

// appendPeerAddr encodes a relative to the member's gossip address.
func appendPeerAddr(b []byte, a, gossip netip.AddrPort) []byte {
	if !a.IsValid() {
		return b
	}
	if a.Addr() == gossip.Addr() {
		return binary.BigEndian.AppendUint16(b, a.Port())
	}
	return appendAddr(b, a)
}

func parseAddr(b []byte) (netip.AddrPort, bool) {
	if len(b) != 6 && len(b) != 18 {
		return netip.AddrPort{}, false
	}
	ip, _ := netip.AddrFromSlice(b[:len(b)-2])
	ip = ip.Unmap()
	port := binary.BigEndian.Uint16(b[len(b)-2:])
	if port == 0 || ip.IsUnspecified() || ip.IsMulticast() {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(ip, port), true
}

func parsePeerAddr(b []byte, gossip netip.AddrPort) (netip.AddrPort, bool) {
	switch len(b) {
	case 0:
		return netip.AddrPort{}, true
	case 2:
		port := binary.BigEndian.Uint16(b)
		return netip.AddrPortFrom(gossip.Addr(), port), port != 0
	}
	return parseAddr(b)
}

func unmapAddrPort(a netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
