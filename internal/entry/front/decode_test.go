package front

import (
	"encoding/json"
	"testing"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// FuzzDecode checks that any body is either a request with JSON input or refused as not run.
func FuzzDecode(f *testing.F) {
	for _, seed := range []string{
		`{"input": {}}`, `{"input": null}`, `{"input": 1, "key": "x", "stream": true}`, `{"input": {}} `, `{"input": {}}{}`,
		`{"deadlineMs": 1e400, "input": 1}`, `{"deadlineMs": -1, "input": 1}`, `[]`, ``, `{"input": {"a": [[[[`, "\xff", `{"Input": 1}`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		env, err := decode(body)
		if err == nil && !json.Valid(env.Input) {
			t.Fatalf("accepted input %q", env.Input)
		}
		if err != nil && err.Verdict != fault.NotRun {
			t.Fatalf("refused with %s", err.Verdict)
		}
	})
}
