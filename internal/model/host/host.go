package host

// State tells whether a host may get new work.
type State string

// The states in a host list.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// Host is a machine with its upstream, or an entry host.
type Host struct {
	Name    string `json:"name"`
	Address string `json:"address"` // IP:port of the gRPC server of the sidecar or the entry
	Zone    string `json:"zone"`    // availability zone
	Region  string `json:"region"`
	Pool    string `json:"pool"` // empty for an entry
	State   State  `json:"state"`
}

// WithState returns a copy in state s.
func (h Host) WithState(s State) Host {
	h.State = s
	return h
}
