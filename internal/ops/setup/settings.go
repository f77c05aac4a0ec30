package setup

// Role is what a process is.
type Role string

// The roles.
const (
	EntryRole Role = "entry"
	SideRole  Role = "side"
)

// Place is where a process runs.
type Place struct {
	Role Role `yaml:"role"`
	// Name of the process, unique among all.
	Name string `yaml:"name"`
	// Region and availability zone of the host.
	Region string `yaml:"region"`
	Zone   string `yaml:"zone"`
	// Zones lists all availability zones of the platform.
	Zones []string `yaml:"zones"`
	// GRPC is the IP:port for other processes of the system.
	GRPC string `yaml:"grpc"`
	// Metrics is the IP:port of the Prometheus endpoint; empty turns it off.
	Metrics string `yaml:"metrics"`
	// Log is the IP:port of the platform's log service.
	Log string `yaml:"log"`
	// HostList is the IP:port of the platform's host list.
	HostList string `yaml:"hostList"`
	// Peers are IP:port addresses of entries, for a start while the host list is down.
	Peers []string `yaml:"peers"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"logLevel"`
}

// Entry holds the settings of an entry.
type Entry struct {
	Place `yaml:",inline"`
	// HTTP is the IP:port for callers and operators.
	HTTP string `yaml:"http"`
	// OperatorTokenDigest is the hex SHA-256 of a token for operators that no configuration can take away.
	OperatorTokenDigest string `yaml:"operatorTokenDigest"`
	// WeightStore is the IP:port of the platform's weight store; empty turns placement off.
	WeightStore string `yaml:"weightStore"`
}

// Side holds the settings of a side.
type Side struct {
	Place `yaml:",inline"`
	// Pool is the name of the pool that the upstream belongs to.
	Pool string `yaml:"pool"`
	// Upstream is the IP:port of the upstream.
	Upstream string `yaml:"upstream"`
}
