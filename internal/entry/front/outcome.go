package front

import (
	"encoding/json"
	"net/http"

	"github.com/zeromicro/go-zero/rest/pathvar"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// Outcome is the recorded state of an action.
type Outcome struct {
	Key     string          `json:"key"`
	Service string          `json:"service"`
	State   string          `json:"state"`
	Verdict fault.Verdict   `json:"verdict"`
	Answer  json.RawMessage `json:"answer,omitempty"`
	Author  string          `json:"author,omitempty"` // of a settlement by an operator
	Reason  string          `json:"reason,omitempty"`
}

// outcome handles GET /v1/outcomes/{key} for the team that owns the key.
func (f *Front) outcome(w http.ResponseWriter, r *http.Request) {
	if err := f.opts.Admitter.Ready(); err != nil {
		WriteError(w, err)
		return
	}
	t, err := authenticate(f.opts.Index(), r)
	if err != nil {
		WriteError(w, err)
		return
	}
	key := pathvar.Vars(r)["key"]
	if _, err := mintTime(key); err != nil {
		WriteError(w, err)
		return
	}
	out, err := f.opts.Outcomes.Outcome(r.Context(), t.Name, r.URL.Query().Get("service"), key)
	if err != nil {
		WriteError(w, err)
		return
	}
	WriteJSON(w, http.StatusOK, out)
}
