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

// field is one setting with its check; expected describes what passes.
type field struct {
	path     string
	value    string
	expected string
	passes   func(string) bool
}

const (
	nameForm    = "a name of a-z, 0-9 and -"
	addressForm = "an address as IP:port with a port from 1 to 65535"
	digestForm  = "a SHA-256 as 64 hex digits"
	levelForm   = "debug, info, warn or error"
)

func (p Place) fields(role Role) []field {
	out := []field{
		{"role", string(p.Role), string(role), func(s string) bool { return s == string(role) }},
		{"name", p.Name, nameForm, isName},
		{"region", p.Region, nameForm, isName},
		{"zone", p.Zone, "one of zones: " + strings.Join(p.Zones, ", "), func(s string) bool { return slices.Contains(p.Zones, s) }},
		{"grpc", p.GRPC, addressForm, isAddress},
		{"log", p.Log, addressForm, isAddress},
		{"hostList", p.HostList, addressForm, isAddress},
		optional(field{"metrics", p.Metrics, addressForm, isAddress}),
		optional(field{"logLevel", p.LogLevel, levelForm, isLevel}),
	}
	for i, zone := range p.Zones {
		out = append(out, field{fmt.Sprintf("zones[%d]", i), zone, nameForm, isName})
	}
	for i, peer := range p.Peers {
		out = append(out, field{fmt.Sprintf("peers[%d]", i), peer, addressForm, isAddress})
	}
	return out
}

func (e Entry) fields() []field {
	return append(e.Place.fields(EntryRole),
		field{"http", e.HTTP, addressForm, isAddress},
		optional(field{"operatorTokenDigest", e.OperatorTokenDigest, digestForm, isDigest}),
		optional(field{"weightStore", e.WeightStore, addressForm, isAddress}),
	)
}

func (s Side) fields() []field {
	return append(s.Place.fields(SideRole),
		field{"pool", s.Pool, nameForm, isName},
		field{"upstream", s.Upstream, addressForm, isAddress},
	)
}

// optional lets an empty value pass.
func optional(f field) field {
	passes := f.passes
	f.passes = func(s string) bool { return s == "" || passes(s) }
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

func isLevel(s string) bool {
	return slices.Contains([]string{"debug", "info", "warn", "error"}, s)
}
