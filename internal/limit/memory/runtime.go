package memory

import (
	"os"
	"runtime/debug"
)

// runtimeShare is the part of the memory of a process that Go's heap and stacks may take. The rest is for the program's
// code, which is resident as well (about 15 MB), and for received bytes in the kernel. With 0.75, a crowd of all kinds took
// 133 MB of 144.
const runtimeShare = 0.68

// LimitRuntime tells the garbage collector how many bytes the process may use in all, unless the environment variable
// GOMEMLIMIT does.
func LimitRuntime(total int64) {
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(int64(runtimeShare * float64(total)))
	}
}
