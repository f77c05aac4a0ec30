package claim

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
	"github.com/ragworthatch/ragworthatch/internal/model/ident"
)

// Kind is the type of a record.
type Kind string

// The kinds.
const (
	Claim   Kind = "claim"   // an owner asks to run the action
	Outcome Kind = "outcome" // the outcome of the run
	Release Kind = "release" // the owner did not run the action and never will
	Settle  Kind = "settle"  // an operator's decision on an unknown outcome
)

// maxRecordBytes is the maximum size of an encoded record.
const maxRecordBytes = 64 << 10

// Key names an action: the caller's key within its team and the service.
type Key struct {
	Team string `json:"team"`
	Key  string `json:"key"`
}

// Record is one entry of an action stream.
type Record struct {
	Kind         Kind          `json:"kind"`
	Nonce        string        `json:"nonce"` // nonce of the claim that the record belongs to
	Key          Key           `json:"key"`
	Owner        string        `json:"owner,omitempty"`        // incarnation of the sidecar that claims
	BodyDigest   string        `json:"bodyDigest,omitempty"`   // of a claim
	UntilMs      int64         `json:"untilMs,omitempty"`      // deadline of a claim's request, Unix time in ms
	AtMs         int64         `json:"atMs"`                   // writer's clock, Unix time in ms
	Verdict      fault.Verdict `json:"verdict,omitempty"`      // of an outcome or settlement
	Answer       []byte        `json:"answer,omitempty"`       // of an outcome, unless too large
	AnswerDigest string        `json:"answerDigest,omitempty"` // of an outcome, see ident.Digest
	Author       string        `json:"author,omitempty"`       // of a settlement
	Reason       string        `json:"reason,omitempty"`       // of a settlement
}

// At returns the writer's time.
func (r Record) At() time.Time { return time.UnixMilli(r.AtMs) }

// Encode validates the record and returns its stored form.
func (r Record) Encode() ([]byte, error) {
	if err := r.validate(); err != nil {
		return nil, err
	}
	b, err := json.Marshal(r)
	if err == nil && len(b) > maxRecordBytes {
		err = fmt.Errorf("record of %d bytes is over %d", len(b), maxRecordBytes)
	}
	return b, err
}

// Decode decodes and validates a record.
func Decode(b []byte) (Record, error) {
	var r Record
	if len(b) > maxRecordBytes {
		return r, fmt.Errorf("record of %d bytes is over %d", len(b), maxRecordBytes)
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return r, fmt.Errorf("decode a claim record: %w", err)
	}
	return r, r.validate()
}

func (r Record) validate() error {
	switch r.Kind {
	case Claim, Outcome, Release, Settle:
	default:
		return fmt.Errorf("record kind %q is unknown", r.Kind)
	}
	if r.Nonce == "" {
		return errors.New("record has no nonce")
	}
	if _, ok := ident.MintTime(r.Key.Key); !ok {
		return fmt.Errorf("record key %q is not a UUIDv7", r.Key.Key)
	}
	if r.Kind == Outcome && r.Verdict != fault.Ran && r.Verdict != fault.MayHaveRun {
		return fmt.Errorf("outcome has the verdict %q", r.Verdict)
	}
	if r.Kind == Settle && r.Verdict != fault.Ran && r.Verdict != fault.NotRun {
		return fmt.Errorf("settlement has the verdict %q", r.Verdict)
	}
	return nil
}
