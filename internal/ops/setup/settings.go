package setup

// Role is the role of a process.
type Role string

// The roles.
const (
	EntryRole Role = "entry"
	SideRole  Role = "side"
)

// Common holds the settings that both roles share.
type Common struct {
	Role Role `yaml:"role"`
	// Name is the name of the process, unique among all processes.
	Name string `yaml:"name"`
	// Region is the region of the host.
	Region string `yaml:"region"`
	// Zone is the availability zone of the host.
	Zone string `yaml:"zone"`
	// Zones lists all availability zones of the platform.
	Zones []string `yaml:"zones"`
	// GRPC is the IP:port to listen on for other processes of the system.
	GRPC string `yaml:"grpc"`
	// Metrics is the IP:port to serve Prometheus metrics on; empty disables them.
	Metrics string `yaml:"metrics"`
	// Log is the IP:port of the platform's log service.
	Log string `yaml:"log"`
	// HostList is the IP:port of the platform's host list.
	HostList string `yaml:"hostList"`
	// Peers are IP:port addresses of entries to start from while the host list is down.
	Peers []string `yaml:"peers"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"logLevel"`
}

// Entry holds the settings of an entry.
type Entry struct {
	Common `yaml:",inline"`
	// HTTP is the IP:port to listen on for callers and operators.
	HTTP string `yaml:"http"`
	// OperatorTokenDigest is the hex SHA-256 of an operators' token that is valid under any configuration.
	OperatorTokenDigest string `yaml:"operatorTokenDigest"`
	// WeightStore is the IP:port of the platform's weight store; empty disables model placement.
	WeightStore string `yaml:"weightStore"`
	// Limits bound what clients may occupy.
	Limits Limits `yaml:"limits"`
}

// Limits bound what the clients of an entry may occupy. A field that is 0 or left out has its default.
type Limits struct {
	MemoryMB        int `yaml:"memoryMB"`        // of the process; 0 leaves memory unbounded
	FileDescriptors int `yaml:"fileDescriptors"` // of the process; 0 leaves them unbounded
	Connections     int `yaml:"connections"`     // at the same time; as many as memory and descriptors allow
	HeaderBytes     int `yaml:"headerBytes"`     // 1 MiB
	BodyBytes       int `yaml:"bodyBytes"`       // 1 MiB, which is also the most
	HeaderTimeoutMs int `yaml:"headerTimeoutMs"` // 5000
	IdleTimeoutMs   int `yaml:"idleTimeoutMs"`   // 120000
	BodyTimeoutMs   int `yaml:"bodyTimeoutMs"`   // without a byte of a body; 5000
	WriteTimeoutMs  int `yaml:"writeTimeoutMs"`  // for 64 KiB of an answer; 10000
	BodyWaitMs      int `yaml:"bodyWaitMs"`      // of a body for memory; 100
}

// Side holds the settings of a side.
type Side struct {
	Common `yaml:",inline"`
	// Pool is the name of the pool that the upstream belongs to.
	Pool string `yaml:"pool"`
	// Upstream is the IP:port of the upstream that the side serves.
	Upstream string `yaml:"upstream"`
}
