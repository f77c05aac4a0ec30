package setup

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
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
	expectedLimit   = "a number from 0 to 1000000000"
	expectedLevel   = "debug, info, warn or error"
)

// fields returns the settings that both roles share, with their validation for a role.
func (c Common) fields(role Role) []field {
	out := []field{
		{"role", string(c.Role), string(role), func(s string) bool { return s == string(role) }},
		{"name", c.Name, expectedName, isName},
		{"region", c.Region, expectedName, isName},
		{"zone", c.Zone, "one of zones: " + strings.Join(c.Zones, ", "),
			func(s string) bool { return slices.Contains(c.Zones, s) }},
		{"grpc", c.GRPC, expectedAddress, isAddress},
		{"log", c.Log, expectedAddress, isAddress},
		{"hostList", c.HostList, expectedAddress, isAddress},
		optional(field{"metrics", c.Metrics, expectedAddress, isAddress}),
		optional(field{"logLevel", c.LogLevel, expectedLevel, isLogLevel}),
	}
	for i, zone := range c.Zones {
		out = append(out, field{fmt.Sprintf("zones[%d]", i), zone, expectedName, isName})
	}
	for i, peer := range c.Peers {
		out = append(out, field{fmt.Sprintf("peers[%d]", i), peer, expectedAddress, isAddress})
	}
	return out
}

// fields returns the settings of an entry with their validation.
func (e Entry) fields() []field {
	return append(append(e.Common.fields(EntryRole),
		field{"http", e.HTTP, expectedAddress, isAddress},
		optional(field{"operatorTokenDigest", e.OperatorTokenDigest, expectedDigest, isDigest}),
		optional(field{"weightStore", e.WeightStore, expectedAddress, isAddress}),
	), e.Limits.fields()...)
}

// fields returns the limits with their validation.
func (l Limits) fields() []field {
	var out []field
	for _, f := range []struct {
		name  string
		value int
	}{
		{"memoryMB", l.MemoryMB}, {"fileDescriptors", l.FileDescriptors}, {"connections", l.Connections},
		{"headerBytes", l.HeaderBytes}, {"bodyBytes", l.BodyBytes}, {"headerTimeoutMs", l.HeaderTimeoutMs},
		{"idleTimeoutMs", l.IdleTimeoutMs}, {"bodyTimeoutMs", l.BodyTimeoutMs}, {"writeTimeoutMs", l.WriteTimeoutMs},
		{"bodyWaitMs", l.BodyWaitMs},
	} {
		out = append(out, field{"limits." + f.name, strconv.Itoa(f.value), expectedLimit, isLimit})
	}
	return out
}

// fields returns the settings of a side with their validation.
func (s Side) fields() []field {
	return append(s.Common.fields(SideRole),
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

// isAddress reports whether s is an IP:port with a port other than 0.
func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() > 0
}

// isDigest reports whether s is a SHA-256 in hex.
func isDigest(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == 32
}

// isLimit reports whether s is a number from 0 to a billion.
func isLimit(s string) bool {
	n, err := strconv.Atoi(s)
	return err == nil && n >= 0 && n <= 1e9
}

func isLogLevel(s string) bool {
	return slices.Contains([]string{"debug", "info", "warn", "error"}, s)
}
