package caller

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"
)

// maxEventBytes is the maximum size of a line of the stream, and so of the data of an event.
const maxEventBytes = 16 << 20

// readStream reads server-sent events into a until the body ends; the call was sent at start.
func readStream(a *Answer, from io.Reader, r Request, start time.Time) {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxEventBytes)
	var event string
	var tokens []string
	for lines.Scan() {
		line := lines.Text()
		if name, ok := strings.CutPrefix(line, "event: "); ok {
			event = name
			continue
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if event == "token" && a.FirstToken == 0 {
			a.FirstToken = time.Since(start)
		}
		tokens = a.handleEvent(event, []byte(data), r, tokens)
	}
	if !a.Ended && a.Err == nil {
		a.Err = errors.Join(io.ErrUnexpectedEOF, lines.Err())
	}
}

// handleEvent handles one event; it takes the tokens of the events before and returns those received so far.
func (a *Answer) handleEvent(event string, data []byte, r Request, tokens []string) []string {
	switch event {
	case "whole":
		a.decodeAnswer(data, r, tokens)
	case "error":
		a.decodeError(data, r)
	case "token":
		var t tokenEvent
		if err := json.Unmarshal(data, &t); err != nil {
			a.Err = err
			return tokens
		}
		if t.Index != uint64(len(tokens)) {
			a.Duplicates++
			a.Err = fmt.Errorf("token %d where %d is due", t.Index, len(tokens))
			return tokens
		}
		if len(t.Base64) > 0 {
			t.Text = string(t.Base64)
		}
		return append(tokens, t.Text)
	}
	return tokens
}
