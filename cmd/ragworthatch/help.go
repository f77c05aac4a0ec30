package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"github.com/google/subcommands"
)

const exitCodeHelp = `Exit codes:
  0  done
  1  failed, or refused
  2  the command line is wrong
  3  a settings or declaration file is wrong
  4  may have taken effect; the message says how to find out
`

// rewriteHelpFlag rewrites "publish --help" to "help publish".
func rewriteHelpFlag(args []string) []string {
	isHelp := func(s string) bool { return s == "-h" || s == "-help" || s == "--help" }
	end := slices.Index(args, "--")
	if end < 0 {
		end = len(args)
	}
	if !slices.ContainsFunc(args[:end], isHelp) {
		return args
	}
	if isHelp(args[0]) {
		return []string{"help"}
	}
	return []string{"help", args[0]}
}

// printHelp prints the list of commands and the exit codes.
func printHelp(w io.Writer) {
	fmt.Fprintf(w, "Usage: %s COMMAND [FLAGS] [ARGUMENTS]\n\n", programName)
	for _, group := range []string{groupServe, groupOperate, groupTool} {
		fmt.Fprintf(w, "Commands for %s:\n", group)
		for _, c := range commands(&streams{}) {
			if c.group == group {
				fmt.Fprintf(w, "  %-11s %s\n", c.name, c.synopsis)
			}
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "%s COMMAND --help describes a command.\n\n%s", programName, exitCodeHelp)
}

// commandHelp returns a function that prints the help of a command to stdout. For an invalid command line the library
// calls it with stderr, where the one-line error is enough.
func commandHelp(stdout *os.File) func(io.Writer, subcommands.Command) {
	return func(w io.Writer, cmd subcommands.Command) {
		if w != io.Writer(stdout) {
			return
		}
		fmt.Fprintf(w, "Usage: %s %s\n", programName, strings.TrimSpace(cmd.Usage()))
		f := flag.NewFlagSet(cmd.Name(), flag.ContinueOnError)
		cmd.SetFlags(f)
		fmt.Fprintln(w, "\nFlags:")
		f.VisitAll(func(f *flag.Flag) { printFlagHelp(w, f) })
		fmt.Fprintf(w, "\n%s", exitCodeHelp)
	}
}

// printFlagHelp prints a flag with its kind of value, its usage and its default.
func printFlagHelp(w io.Writer, f *flag.Flag) {
	kind, usage := flag.UnquoteUsage(f)
	name := "--" + f.Name
	if kind != "" {
		name += " " + strings.ToUpper(kind)
	}
	if f.DefValue != "" && f.DefValue != "false" {
		usage += fmt.Sprintf(" (default %s)", f.DefValue)
	}
	fmt.Fprintf(w, "  %-22s %s\n", name, usage)
}

// hasCommand reports whether a command is registered.
func hasCommand(commander *subcommands.Commander, name string) bool {
	found := false
	commander.VisitCommands(func(_ *subcommands.CommandGroup, c subcommands.Command) {
		found = found || c.Name() == name
	})
	return found
}
