package setup

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// field is one setting with its validation; expected describes the valid values.
type field struct {
	path     string
	value    string
	expected string
	valid    func(string) bool
}

const (
	expectedName    = "a name of a-z, 0-9 and -"
	expectedAddress = "an address as IP:port with a port from 1 to 65535"
	expectedDigest  = "a SHA-256 as 64 hex digits"
	expectedLevel   = "debug, info, warn or error"
)

func (p Place) fields(role Role) []field {
	out := []field{
		{"role", string(p.Role), string(role), func(s string) bool { return s == string(role) }},
		{"name", p.Name, expectedName, isName},
		{"region", p.Region, expectedName, isName},
		{"zone", p.Zone, "one of zones: " + strings.Join(p.Zones, ", "), func(s string) bool { return slices.Contains(p.Zones, s) }},
		{"grpc", p.GRPC, expectedAddress, isAddress},
		{"log", p.Log, expectedAddress, isAddress},
		{"hostList", p.HostList, expectedAddress, isAddress},
		optional(field{"metrics", p.Metrics, expectedAddress, isAddress}),
		optional(field{"logLevel", p.LogLevel, expectedLevel, isLogLevel}),
	}
	for i, zone := range p.Zones {
		out = append(out, field{fmt.Sprintf("zones[%d]", i), zone, expectedName, isName})
	}
	for i, peer := range p.Peers {
		out = append(out, field{fmt.Sprintf("peers[%d]", i), peer, expectedAddress, isAddress})
	}
	return out
}

func (e Entry) fields() []field {
	return append(e.Place.fields(EntryRole),
		field{"http", e.HTTP, expectedAddress, isAddress},
		optional(field{"operatorTokenDigest", e.OperatorTokenDigest, expectedDigest, isDigest}),
		optional(field{"weightStore", e.WeightStore, expectedAddress, isAddress}),
	)
}

func (s Side) fields() []field {
	return append(s.Place.fields(SideRole),
		field{"pool", s.Pool, expectedName, isName},
		field{"upstream", s.Upstream, expectedAddress, isAddress},
	)
}

// optional makes an empty value valid.
func optional(f field) field {
	passes := f.valid
	f.valid = func(s string) bool { return s == "" || passes(s) }
	return f
}

func isName(s string) bool { return namePattern.MatchString(s) }

func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() > 0
}

func isDigest(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == 32
}

func isLogLevel(s string) bool {
	return slices.Contains([]string{"debug", "info", "warn", "error"}, s)
}
