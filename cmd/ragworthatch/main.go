// Command ragworthatch serves multi-stage model pipelines, and is the tool of those who operate it.
//
// One program has two serving roles. An entry takes the callers' requests and plans their stages;
// a side stands beside each upstream and is the only way to it. Who hands what to whom:
//
//	       callers, operators                    platform's log, host list
//	               |                                       |
//	entry:         v                                       v
//	+------------------------------+   snapshots   +-----------------+
//	| one goroutine for each       | <------------ | control         | <-- gossip with other entries
//	| request: check, admit, route |  (atomic      | goroutines:     |
//	| stages, stream the answer    |   pointers)   | feed, members,  | <-- status of the watched sides
//	+------------------------------+               | marks, shares   |
//	               |                               +-----------------+
//	               | gRPC, one stream for each attempt
//	               v
//	side:  +------------------------------+        +-----------------+
//	       | one goroutine for each call: | <----> | gate: queue and |
//	       | gate, claim, dispatch, relay |        | limit           |
//	       +------------------------------+        +-----------------+
//	               |            |                  +-----------------+
//	               |            +----------------> | claims, probes, | --> platform's log
//	               | HTTP                          | engine's orders |
//	               v                               +-----------------+
//	            upstream
//
// A first SIGTERM or SIGINT starts a graceful shutdown; a second one stops at once.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"

	"github.com/google/subcommands"
	"github.com/zeromicro/go-zero/core/proc"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/ops/logger"
)

func main() {
	// The library would end the process a few seconds after a signal, in the middle of a drain.
	proc.Setup(proc.ShutdownConf{WrapUpTime: libraryShutdown, WaitTime: 2 * libraryShutdown})
	// Commands that serve route the libraries' logs to their own.
	logger.RouteLibraries(zap.NewNop())
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one command line and returns the exit code.
func run(args []string, stdout, stderr *os.File) int {
	top := flag.NewFlagSet(programName, flag.ContinueOnError)
	top.SetOutput(stderr)
	commander := subcommands.NewCommander(top, programName)
	commander.Output = stdout
	commander.Error = stderr
	commander.Explain = explain
	commander.ExplainCommand = explainCommand(stdout)
	io := &streams{out: stdout, err: stderr}
	for _, c := range commands(io) {
		commander.Register(c, c.group)
	}
	commander.Register(commander.HelpCommand(), groupTool)
	if err := top.Parse(helpFirst(args)); err != nil {
		return exitUsage
	}
	if name := top.Arg(0); name != "" && !known(commander, name) {
		fmt.Fprintf(stderr, "%s: unknown command %q; %s help lists them\n", programName, name, programName)
		return exitUsage
	}
	return int(commander.Execute(context.Background()))
}
