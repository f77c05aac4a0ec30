package main

import (
	"flag"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/ops/admin"
	"github.com/ragworthatch/ragworthatch/internal/ops/load"
	"github.com/ragworthatch/ragworthatch/platform"
)

// operatorOptions are the options of commands that call an entry.
type operatorOptions struct {
	entry     string
	token     string
	tokenFile string
	json      bool
}

func (o *operatorOptions) define(f *flag.FlagSet) {
	f.StringVar(&o.entry, "entry", os.Getenv(envEntry), "`address` of an entry, as IP:port; "+envEntry+" stands in")
	f.StringVar(&o.token, "token", "", "an operator's `token`; "+envToken+" stands in")
	f.StringVar(&o.tokenFile, "tokenFile", "", "`file` that holds the token")
	f.BoolVar(&o.json, "json", false, "print one JSON object")
}

// check validates the address and finds the token: the flag, the file or the environment variable, in this order.
func (o *operatorOptions) check() error {
	if err := checkAddress("entry", o.entry); err != nil {
		return err
	}
	if o.token == "" && o.tokenFile != "" {
		data, err := os.ReadFile(o.tokenFile)
		if err != nil {
			return fileError(err)
		}
		o.token = strings.TrimSpace(string(data))
	}
	if o.token == "" {
		o.token = os.Getenv(envToken)
	}
	if o.token == "" {
		return usagef("a token is needed: --token, --tokenFile or %s", envToken)
	}
	return nil
}

// authorOptions are the options of commands that change something.
type authorOptions struct {
	author string
	reason string
}

// define defines the flags; --reason only if withReason is set.
func (o *authorOptions) define(f *flag.FlagSet, withReason bool) {
	author := os.Getenv(envAuthor)
	if author == "" {
		author = os.Getenv("USER")
	}
	f.StringVar(&o.author, "author", author, "`name` that is recorded; "+envAuthor+" and USER stand in")
	if withReason {
		f.StringVar(&o.reason, "reason", "", "`sentence` that is recorded")
	}
}

func (o *authorOptions) check(needReason bool) error {
	if o.author == "" {
		return usagef("an author is needed: --author or %s", envAuthor)
	}
	if needReason && o.reason == "" {
		return usagef("a reason is needed: --reason")
	}
	return nil
}

// serveOptions are the options of the serving roles.
type serveOptions struct {
	settings string
}

func (o *serveOptions) define(f *flag.FlagSet) {
	f.StringVar(&o.settings, "settings", "", "YAML `file` with the settings; see docs/SETTINGS.md")
}

func (o *serveOptions) check() error {
	if o.settings == "" {
		return usagef("a settings file is needed: --settings")
	}
	return nil
}

// jsonOption is the option of commands that print a result without calling an entry.
type jsonOption struct {
	json bool
}

func (o *jsonOption) define(f *flag.FlagSet) {
	f.BoolVar(&o.json, "json", false, "print one JSON object")
}

// publishOptions are the options of publish.
type publishOptions struct {
	operatorOptions
	authorOptions
	remove refList
	prune  bool
	base   int64
	settle string
}

func (o *publishOptions) defineAll(f *flag.FlagSet) {
	o.operatorOptions.define(f)
	o.authorOptions.define(f, false)
	f.Var(&o.remove, "remove", "`reference` of an object to remove, as in pools/engines; may be repeated")
	f.BoolVar(&o.prune, "prune", false, "also remove all objects that no file declares")
	f.Int64Var(&o.base, "base", baseUnset, "newest `revision` that you saw; refused if an object was changed after it")
	f.StringVar(&o.settle, "settle", "", "`nonce` of a publish to find out about; takes no files")
}

// checkOptions are the options of check.
type checkOptions struct {
	operatorOptions
	against  bool
	prune    bool
	platform bool
}

func (o *checkOptions) defineAll(f *flag.FlagSet) {
	o.operatorOptions.define(f)
	f.BoolVar(&o.prune, "prune", false, "with --against, count objects that no file declares as removed")
	f.BoolVar(&o.platform, "platform", false, "check the files that the operators' platform hands to edge: settings, and configurations as JSON")
	f.BoolVar(&o.against, "against", false, "compare with what is in force at --entry, and check the two together")
}

// presetOptions are the options of preset.
type presetOptions struct {
	operatorOptions
	authorOptions
	base int64
}

func (o *presetOptions) defineAll(f *flag.FlagSet) {
	o.operatorOptions.define(f)
	o.authorOptions.define(f, false)
	f.Int64Var(&o.base, "base", baseUnset, "`revision` of the switch that you saw; refused if there was a later one")
}

// outcomeOptions are the options of outcome.
type outcomeOptions struct {
	operatorOptions
	team    string
	service string
}

func (o *outcomeOptions) defineAll(f *flag.FlagSet) {
	o.operatorOptions.define(f)
	f.StringVar(&o.team, "team", "", "`team` that sent the action")
	f.StringVar(&o.service, "service", "", "`pool` of the plain service; all services when empty")
}

func (o *outcomeOptions) checkAll() error {
	if o.team == "" {
		return usagef("a team is needed: --team")
	}
	return nil
}

// settleOptions are the options of settle.
type settleOptions struct {
	changeOptions
	team    string
	service string
	verdict string
}

func (o *settleOptions) defineAll(f *flag.FlagSet) {
	o.changeOptions.defineAll(f)
	f.StringVar(&o.team, "team", "", "`team` that sent the action")
	f.StringVar(&o.service, "service", "", "`pool` of the plain service")
	f.StringVar(&o.verdict, "verdict", "", "`verdict`, ran or notRun, as you found out at the service")
}

func (o *settleOptions) checkAll() error {
	switch {
	case o.team == "":
		return usagef("a team is needed: --team")
	case o.service == "":
		return usagef("a service is needed: --service")
	case o.verdict != string(fault.Ran) && o.verdict != string(fault.NotRun):
		return usagef("--verdict must be ran or notRun, not %q", o.verdict)
	}
	return nil
}

// demoOptions are the options of demo.
type demoOptions struct {
	jsonOption
	serve    bool
	seed     uint64
	logLevel string
}

func (o *demoOptions) defineAll(f *flag.FlagSet) {
	o.jsonOption.define(f)
	f.BoolVar(&o.serve, "serve", false, "play no script; keep everything running until a signal, and print addresses and tokens")
	f.Uint64Var(&o.seed, "seed", 1, "`number` that the traffic is drawn from")
	f.StringVar(&o.logLevel, "logLevel", "", "`level` of the processes' own logs on stderr: debug, info, warn or error; none when empty")
}

// loadOptions are the options of load.
type loadOptions struct {
	operatorOptions
	rate     float64
	duration time.Duration
	mix      string
	seed     uint64
	stream   bool
}

func (o *loadOptions) defineAll(f *flag.FlagSet) {
	o.operatorOptions.define(f)
	f.Float64Var(&o.rate, "rate", 10, "requests a second, as a `number`")
	f.DurationVar(&o.duration, "duration", 10*time.Second, "how long to send, as in 30s")
	f.StringVar(&o.mix, "mix", "", "`pipelines` as NAME=WEIGHT[@DEADLINE][!] with commas between; ! sends a new key with each request")
	f.Uint64Var(&o.seed, "seed", 1, "`number` that times and pipelines are drawn from")
	f.BoolVar(&o.stream, "stream", false, "ask for streamed answers")
}

// checkAll validates all options and returns those of the load generator.
func (o *loadOptions) checkAll() (load.Options, error) {
	if o.mix == "" {
		return load.Options{}, usagef("a mix is needed: --mix")
	}
	mix, err := load.ParseMix(o.mix)
	if err != nil {
		return load.Options{}, usagef("--mix: %w", err)
	}
	entries := strings.Split(o.entry, ",")
	for _, e := range entries {
		if err := checkAddress("entry", e); err != nil {
			return load.Options{}, err
		}
	}
	o.entry = entries[0]
	if err := o.check(); err != nil {
		return load.Options{}, err
	}
	return load.Options{
		Entries: entries, Token: o.token, Rate: o.rate, Duration: o.duration, Mix: mix, Seed: o.seed, Stream: o.stream,
	}, nil
}

// changeOptions are the options of commands that record an author and a reason.
type changeOptions struct {
	operatorOptions
	authorOptions
}

func (o *changeOptions) defineAll(f *flag.FlagSet) {
	o.operatorOptions.define(f)
	o.authorOptions.define(f, true)
}

// checkedClient validates all options and returns a client of the entry.
func (o *changeOptions) checkedClient() (*admin.Client, error) {
	client, err := o.client()
	if err != nil {
		return nil, err
	}
	return client, o.authorOptions.check(true)
}

// checkAddress returns an error if the value of a flag is not an IP:port address.
func checkAddress(flagName, value string) error {
	if value == "" {
		return usagef("an address is needed: --%s", flagName)
	}
	a, err := netip.ParseAddrPort(value)
	if err != nil || a.Port() == 0 {
		return usagef("--%s must be an address as IP:port with a port from 1 to 65535, not %q", flagName, value)
	}
	return nil
}

// noArguments returns an error if there are arguments.
func noArguments(args []string) error {
	if len(args) > 0 {
		return usagef("takes no arguments, got %q", args[0])
	}
	return nil
}

// oneArgument returns the only argument. If there is none or more than one, it returns an error, in which what
// describes the argument.
func oneArgument(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", usagef("takes one argument, %s, and got %d", what, len(args))
	}
	return args[0], nil
}

// edgeOptions are the options of edge.
type edgeOptions struct {
	settings string
	logLevel string

	metricsPort int
}

func (o *edgeOptions) define(f *flag.FlagSet) {
	f.StringVar(&o.settings, "settings", "", "`file` with the platform's settings; "+platform.SettingsVariable+" stands in")
	f.StringVar(&o.logLevel, "logLevel", "info", "least `level` of log lines: debug, info, warn or error")
	f.IntVar(&o.metricsPort, "metricsPort", 0, "`port` that serves the metrics; 0 takes the second internal port of the settings")
}
