package main

import (
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rogpeppe/go-internal/testscript"
	"github.com/zeromicro/go-zero/core/logx"
	"go.uber.org/zap"

	"github.com/ragworthatch/ragworthatch/internal/demo/script"
	"github.com/ragworthatch/ragworthatch/internal/fake/httpd"
	"github.com/ragworthatch/ragworthatch/internal/fake/member"
	"github.com/ragworthatch/ragworthatch/internal/fake/memlog"
	"github.com/ragworthatch/ragworthatch/internal/fake/ports"
	"github.com/ragworthatch/ragworthatch/internal/fake/roster"
	"github.com/ragworthatch/ragworthatch/internal/model/host"
	"github.com/ragworthatch/ragworthatch/internal/ops/caller"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){programName: main})
}

func TestScripts(t *testing.T) {
	logx.Disable()
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(e *testscript.Env) error {
			root, err := os.Getwd()
			if err != nil {
				return err
			}
			e.Values[deployKey{}] = new(*script.Demo)
			e.Setenv("ROOT", strings.TrimSuffix(root, "/cmd/ragworthatch"))
			return nil
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"deploy":  deploy,
			"replace": replace,
			"capture": capture,
			"readme":  readme,

			"eventually":  eventually,
			"loseAnswers": loseAnswers,
			"platform":    fakePlatform,
			"transfer":    transfer,
		},
	})
}

// deployKey is the key of the deployment among the values of a script.
type deployKey struct{}

// deployed returns a pointer to the deployment of a script, which is nil before deploy.
func deployed(ts *testscript.TestScript) **script.Demo { return ts.Value(deployKey{}).(**script.Demo) }

// loseAnswers makes each plain service close one connection after it has run a call, without an answer.
func loseAnswers(ts *testscript.TestScript, _ bool, _ []string) { (*deployed(ts)).LoseAnswers() }

// transfer calls an action as a caller and sets KEY to its key.
func transfer(ts *testscript.TestScript, _ bool, _ []string) {
	key := uuid.Must(uuid.NewV7()).String()
	ts.Setenv("KEY", key)
	a := caller.New("script").Call(context.Background(), ts.Getenv(envEntry), caller.Request{
		Pipeline: "transfer", Token: script.CollectorsToken, Key: key, Input: json.RawMessage(`{"marker":"script"}`),
	})
	ts.Logf("status %d, verdict %s, code %s", a.Status, a.Verdict, a.Code)
}

// deploy starts the deployment of the demo for the rest of a script, and sets ENTRY2 and the environment variables of
// operators.
func deploy(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) > 0 {
		ts.Fatalf("usage: deploy")
	}
	d, err := script.New(context.Background(), script.Options{Log: zap.NewNop()})
	ts.Check(err)
	ts.Defer(d.Close)
	*deployed(ts) = d
	ts.Setenv(envEntry, d.EntryAddresses()[0])
	ts.Setenv("ENTRY2", d.EntryAddresses()[1])
	ts.Setenv(envToken, script.OperatorsToken)
	ts.Setenv(envAuthor, "ana")
}

// replace replaces a text in a file; the file must contain it.
func replace(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: replace OLD NEW FILE")
	}
	text := ts.ReadFile(args[2])
	if !strings.Contains(text, args[0]) {
		ts.Fatalf("%s does not contain %q", args[2], args[0])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[2]), []byte(strings.ReplaceAll(text, args[0], args[1])), 0o600))
}

// capture sets a variable to the first group of a pattern in a file or in stdout.
func capture(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 3 {
		ts.Fatalf("usage: capture VARIABLE PATTERN FILE")
	}
	m := regexp.MustCompile(args[1]).FindStringSubmatch(ts.ReadFile(args[2]))
	if m == nil {
		ts.Fatalf("%s does not match %q", args[2], args[1])
	}
	ts.Setenv(args[0], m[1])
}

// fakePlatform starts fakes of the platform and of one upstream, adds an entry and a side to the host list, and sets
// the variables for their settings.
func fakePlatform(ts *testscript.TestScript, _ bool, _ []string) {
	list, upstream := roster.New(0), member.New(8, time.Millisecond)
	serve := func(name string, h http.Handler) {
		s, err := httpd.New("127.0.0.1:0", h)
		ts.Check(err)
		ts.Defer(s.Down)
		ts.Setenv(name, s.Address())
	}
	serve("LOG", httpd.Log(memlog.New()))
	serve("LIST", httpd.Hosts(list))
	serve("UPSTREAM", httpd.Upstream(upstream))
	for _, name := range []string{"HTTP", "ENTRY", "SIDE", "METRICS"} {
		ts.Setenv(name, ports.Next())
	}
	list.Put(host.Host{Name: "entry-1", Address: ts.Getenv("ENTRY"), Zone: "a", State: host.Live})
	list.Put(host.Host{Name: "encoder-1", Address: ts.Getenv("SIDE"), Zone: "a", Pool: "encoders", State: host.Live})
}

// eventually runs a command until its output matches. maxAttempts only ends a run that hangs.
func eventually(ts *testscript.TestScript, neg bool, args []string) {
	const maxAttempts, interval = 1200, 50 * time.Millisecond
	if neg || len(args) < 2 {
		ts.Fatalf("usage: eventually PATTERN COMMAND...")
	}
	pattern := regexp.MustCompile("(?m)" + args[0])
	for range maxAttempts {
		_ = ts.Exec(args[1], args[2:]...) // may fail until it matches
		if pattern.MatchString(ts.ReadFile("stdout")) {
			return
		}
		time.Sleep(interval)
	}
	ts.Fatalf("no output of %v matches %q", args[1:], args[0])
}

// readme copies the first YAML block of a page to a file.
func readme(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) != 2 {
		ts.Fatalf("usage: readme PAGE FILE")
	}
	_, block, found := strings.Cut(ts.ReadFile(args[0]), "```yaml\n")
	block, _, ended := strings.Cut(block, "```")
	if !found || !ended {
		ts.Fatalf("%s has no YAML block", args[0])
	}
	ts.Check(os.WriteFile(ts.MkAbs(args[1]), []byte(block), 0o600))
}

func TestEveryCommandIsScripted(t *testing.T) {
	files, err := os.ReadDir("testdata/script")
	if err != nil {
		t.Fatal(err)
	}
	var all strings.Builder
	for _, f := range files {
		data, err := os.ReadFile("testdata/script/" + f.Name())
		if err != nil {
			t.Fatal(err)
		}
		all.Write(data)
	}
	for _, c := range commands(&streams{}) {
		runs := regexp.MustCompile(`(?m)^!? ?exec ragworthatch ` + c.name + `\b`)
		if len(runs.FindAllString(all.String(), -1)) < 2 {
			t.Errorf("command %q is scripted less than twice", c.name)
		}
		if !strings.Contains(all.String(), "exec ragworthatch "+c.name+" --help") {
			t.Errorf("command %q --help is not scripted", c.name)
		}
		f := flag.NewFlagSet(c.name, flag.ContinueOnError)
		c.SetFlags(f)
		f.VisitAll(func(f *flag.Flag) {
			if !regexp.MustCompile(`^[a-z][A-Za-z]*$`).MatchString(f.Name) {
				t.Errorf("flag %q of %q is not camelCase", f.Name, c.name)
			}
		})
	}
}
