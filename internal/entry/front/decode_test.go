package front

import (
	"encoding/json"
	"testing"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// FuzzDecode checks that any body either decodes to a request with valid JSON input or is refused with NotRun.
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
