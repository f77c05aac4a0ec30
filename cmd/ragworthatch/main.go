// Command ragworthatch serves multi-stage model pipelines, and provides the commands to operate the system.
//
// The program has two serving roles. An entry accepts requests of callers and plans their stages; a side runs beside
// each upstream and relays all calls to it. (On the operators' platform, the command edge serves callers without sides;
// see package internal/edge/node.) The data flow:
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

	"github.com/ragworthatch/ragworthatch/internal/ops/hangup"
	"github.com/ragworthatch/ragworthatch/internal/ops/logger"
)

func main() {
	// Without this, the library would end the process a few seconds after a signal, during the drain.
	proc.Setup(proc.ShutdownConf{WrapUpTime: libraryShutdownDelay, WaitTime: 2 * libraryShutdownDelay})
	// The serving commands route the logs of the libraries to their own log later.
	logger.RouteLibraries(zap.NewNop())
	os.Exit(run(os.Args[1:], os.Stdout, os.Stderr))
}

// run executes a command line and returns the exit code.
func run(args []string, stdout, stderr *os.File) int {
	top := flag.NewFlagSet(programName, flag.ContinueOnError)
	top.SetOutput(stderr)
	commander := subcommands.NewCommander(top, programName)
	commander.Output = stdout
	commander.Error = stderr
	commander.Explain = printHelp
	commander.ExplainCommand = commandHelp(stdout)
	std := &streams{out: stdout, err: stderr}
	for _, c := range commands(std) {
		commander.Register(c, c.group)
	}
	commander.Register(commander.HelpCommand(), groupTool)
	if err := top.Parse(rewriteHelpFlag(args)); err != nil {
		return exitUsage
	}
	if name := top.Arg(0); name != "" && !hasCommand(commander, name) {
		fmt.Fprintf(stderr, "%s: unknown command %q; %s help lists them\n", programName, name, programName)
		return exitUsage
	}
	if top.Arg(0) != edgeName {
		hangup.Reset() // only this command reloads its settings
	}
	return int(commander.Execute(context.Background()))
}
