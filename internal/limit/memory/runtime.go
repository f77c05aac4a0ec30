package memory

import (
	"os"
	"runtime/debug"
)

// runtimeShare is the part of the memory of a process that Go's heap and stacks may take. The rest is for the program's
// code, which is resident as well, and for received bytes in the kernel.
const runtimeShare = 0.75

// LimitRuntime tells the garbage collector how many bytes the process may use in all, unless the environment variable
// GOMEMLIMIT does.
func LimitRuntime(total int64) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(runtimeShare * float64(total)))
	}
}
