package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/ragworthatch/ragworthatch/internal/model/fault"
)

// question is a request as a caller sends it.
type question struct {
	RequestID string         `json:"requestId"`
	Key       string         `json:"key,omitempty"`
	Stream    bool           `json:"stream,omitempty"`
	Input     map[string]any `json:"input"`
}

// reply is what a caller got.
type reply struct {
	Status    int
	RequestID string          `json:"requestId"`
	Whole     bool            `json:"whole"`
	Count     int             `json:"count"`
	Text      string          `json:"text"`
	Result    json.RawMessage `json:"result"`
	Replayed  bool            `json:"replayed"`
	Error     struct {
		Verdict fault.Verdict `json:"verdict"`
		Code    fault.Code    `json:"code"`
		Message string        `json:"message"`
	} `json:"error"`
}

// ask sends a question to an entry and reads the answer to its end.
func ask(ctx context.Context, entry, pipeline string, q question) (reply, error) {
	body, err := json.Marshal(q)
	if err != nil {
		return reply{}, err
	}
	url := fmt.Sprintf("http://%s/v1/pipelines/%s", entry, pipeline)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return reply{}, err
	}
	req.Header.Set("Authorization", "Bearer "+callersToken)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}, err
	}
	out := reply{Status: resp.StatusCode}
	return out, json.Unmarshal(data, &out)
}
