package membership

import (
	"encoding/binary"
	"net/netip"
)

// appendAddr appends the IP address in 4 or 16 bytes and the port in 2, both
// big-endian.
func appendAddr(b []byte, addr netip.AddrPort) []byte {
	ip := addr.Addr().Unmap()
	b = append(b, ip.AsSlice()...)
	return binary.BigEndian.AppendUint16(b, addr.Port())
}

// appendPeerAddr appends addr relative to the member's gossip address: nothing
// if addr is not set, and only the port if both have the same IP address.
func appendPeerAddr(b []byte, addr, gossip netip.AddrPort) []byte {
	if !addr.IsValid() {
		return b
	}
	if addr.Addr() == gossip.Addr() {
		return binary.BigEndian.AppendUint16(b, addr.Port())
	}
	return appendAddr(b, addr)
}

// parseAddr decodes an address written by appendAddr. It rejects port 0 and
// unspecified and multicast IP addresses.
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

// parsePeerAddr decodes an address written by appendPeerAddr.
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

func unmapAddrPort(addr netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
}
