package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	maxLineBytes      = 1 << 20
	stateChangeWindow = 2 * time.Second // before and after a request, in which state changes may have affected it
)

// Line is one parsed log line.
type Line struct {
	Source  string         `json:"source"` // last word before the JSON object, or the name of the log
	Time    time.Time      `json:"time"`
	Logger  string         `json:"logger"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// stateChangeMessages lists the log messages that report a change in a process's view of the system.
var stateChangeMessages = []string{
	"leader", "leader lost", "store lost", "store regained", "configuration in force", "upstream listed", "upstream gone",
	"engine ejected", "upstream ejected", "upstream said", "upstream leaves, another entry was told",
	"upstream checked", "prompt parts blocked", "trial of blocked prompt parts", "prompt parts unblocked",
	"leaders met, this one follows the other", "decisions failed, all orders are refused", "reload", "start", "stop",
	"shutting down", "member left", "member expired",
	"process short", "orders waited for a leader", "orders moved to the present leader",
}

// Trace holds the log lines about one request and the outcome derived from them.
type Trace struct {
	Request      string `json:"request"`
	Lines        []Line `json:"lines"`  // lines that name the request, by time
	StateChanges []Line `json:"around"` // state changes shortly before, during and after the request, by time
	Cause        string `json:"cause"`  // explanation of the outcome
}

// Read collects the lines about a request from logs, which are keyed by name. Its errors are those of reading a log.
func Read(request string, logs map[string]io.Reader) (Trace, error) {
	t := Trace{Request: request}
	var changes []Line
	for name, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
		for scanner.Scan() {
			line, ok := parseLine(name, scanner.Text())
			switch {
			case !ok:
			case line.mentions(request):
				t.Lines = append(t.Lines, line)
			case slices.Contains(stateChangeMessages, line.Message):
				changes = append(changes, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return t, fmt.Errorf("%s: %w", name, err)
		}
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(t.Lines, byTime)
	slices.SortStableFunc(changes, byTime)
	if len(t.Lines) > 0 {
		from, to := t.Lines[0].Time.Add(-stateChangeWindow), t.Lines[len(t.Lines)-1].Time.Add(stateChangeWindow)
		for _, line := range changes {
			if line.Time.After(from) && line.Time.Before(to) && t.isRelevant(line) {
				t.StateChanges = append(t.StateChanges, line)
			}
		}
	}
	t.Cause = t.describeCause()
	return t, nil
}

// isRelevant reports whether a state change may have affected the request. A change of an upstream is relevant only if
// a line of the request names that upstream.
func (t Trace) isRelevant(change Line) bool {
	upstream, _ := change.Fields["upstream"].(string)
	return upstream == "" || slices.ContainsFunc(t.Lines, func(l Line) bool { return l.Fields["upstream"] == upstream })
}

// parseLine parses a line, which may have words before its JSON object. It returns false for a line without a valid
// object.
func parseLine(source, text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	if prefix := strings.Fields(text[:start]); len(prefix) > 0 {
		source = prefix[len(prefix)-1]
	}
	line := Line{Source: source}
	if err := json.Unmarshal([]byte(text[start:]), &line.Fields); err != nil {
		return Line{}, false
	}
	line.Logger, _ = line.Fields["logger"].(string)
	line.Message, _ = line.Fields["message"].(string)
	timestamp, _ := line.Fields["time"].(string)
	line.Time, _ = time.Parse(time.RFC3339Nano, timestamp)
	for _, name := range []string{"logger", "message", "time", "level"} {
		delete(line.Fields, name)
	}
	return line, true
}

// mentions reports whether the line names the request, alone or in a list.
func (l Line) mentions(request string) bool {
	if l.Fields["request"] == request {
		return true
	}
	requests, _ := l.Fields["requests"].([]any)
	return slices.Contains(requests, any(request))
}

// Text formats the line for display; fields that are empty, zero or false are left out.
func (l Line) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s  %-20s %-6s %s", l.Time.Format("15:04:05.000"), l.Source, l.Logger, l.Message)
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if name != "request" && name != "requests" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		switch value := l.Fields[name].(type) {
		case []any, map[string]any:
			if text, err := json.Marshal(value); err == nil {
				fmt.Fprintf(&b, " %s=%s", name, text)
			}
		default:
			if value != "" && value != float64(0) && value != false {
				fmt.Fprintf(&b, " %s=%v", name, value)
			}
		}
	}
	return b.String()
}

// Text formats the trace for display.
func (t Trace) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s: %s\n", t.Request, t.Cause)
	for _, line := range t.Lines {
		b.WriteString("  " + line.Text() + "\n")
	}
	if len(t.StateChanges) > 0 {
		b.WriteString("changes of belief around it:\n")
		for _, line := range t.StateChanges {
			b.WriteString("  " + line.Text() + "\n")
		}
	}
	return b.String()
}
