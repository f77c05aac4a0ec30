package kit

import (
	"bytes"
	"fmt"
	"os"
)

// MemoryBytes is what a process may use: limits.memory_mb of the settings, in the larger sense of the unit.
const MemoryBytes = 284 << 20

// ResidentBytes returns the memory that the process of the machine uses; 0 if that is not known.
func (f *Front) ResidentBytes() int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", f.process.Process.Pid))
	if err != nil {
		return 0
	}
	_, after, found := bytes.Cut(status, []byte("VmRSS:"))
	if !found {
		return 0
	}
	var kilobytes int64
	_, _ = fmt.Sscan(string(after), &kilobytes)
	return kilobytes << 10
}
