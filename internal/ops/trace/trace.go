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
	maxLine = 1 << 20         // bytes
	around  = 2 * time.Second // before and after a request, in which changes of belief may matter to it
)

// Line is one line of a log.
type Line struct {
	Source  string         `json:"source"` // file, or what stands before the line
	Time    time.Time      `json:"time"`
	Logger  string         `json:"logger"`
	Message string         `json:"message"`
	Fields  map[string]any `json:"fields"`
}

// beliefs are the messages of changes in what a process believes.
var beliefs = []string{
	"leader", "leader lost", "store lost", "store regained", "configuration in force", "upstream listed", "upstream gone",
	"engine ejected", "upstream ejected", "upstream said", "upstream leaves, another entry was told",
	"leaders met, this one follows the other", "decisions failed, all orders are refused", "reload", "start", "stop", "shutting down", "member left", "member expired",
	"orders waited for a leader", "orders moved to the present leader",
}

// Trace is what is known of one request.
type Trace struct {
	Request string `json:"request"`
	Lines   []Line `json:"lines"`  // that name the request
	Beliefs []Line `json:"around"` // changes of belief near it
	Cause   string `json:"cause"`
}

// Read collects the lines about a request from logs by name.
func Read(request string, logs map[string]io.Reader) (Trace, error) {
	s := Trace{Request: request}
	var others []Line
	for name, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLine)
		for scanner.Scan() {
			line, ok := parse(name, scanner.Text())
			switch {
			case !ok:
			case line.names(request):
				s.Lines = append(s.Lines, line)
			case slices.Contains(beliefs, line.Message):
				others = append(others, line)
			}
		}
		if err := scanner.Err(); err != nil {
			return s, fmt.Errorf("%s: %w", name, err)
		}
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(s.Lines, byTime)
	slices.SortStableFunc(others, byTime)
	if len(s.Lines) > 0 {
		from, to := s.Lines[0].Time.Add(-around), s.Lines[len(s.Lines)-1].Time.Add(around)
		for _, line := range others {
			if line.Time.After(from) && line.Time.Before(to) && s.concerns(line) {
				s.Beliefs = append(s.Beliefs, line)
			}
		}
	}
	s.Cause = s.cause()
	return s, nil
}

// concerns says whether a change of belief may matter: one about an upstream does only if the request met it.
func (s Trace) concerns(belief Line) bool {
	upstream, _ := belief.Fields["upstream"].(string)
	return upstream == "" || slices.ContainsFunc(s.Lines, func(l Line) bool { return l.Fields["upstream"] == upstream })
}

// parse reads one line, which may have words before the JSON object; false if there is none.
func parse(source, text string) (Line, bool) {
	at := strings.IndexByte(text, '{')
	if at < 0 {
		return Line{}, false
	}
	if before := strings.Fields(text[:at]); len(before) > 0 {
		source = before[len(before)-1]
	}
	line := Line{Source: source}
	if err := json.Unmarshal([]byte(text[at:]), &line.Fields); err != nil {
		return Line{}, false
	}
	line.Logger, _ = line.Fields["logger"].(string)
	line.Message, _ = line.Fields["message"].(string)
	stamp, _ := line.Fields["time"].(string)
	line.Time, _ = time.Parse(time.RFC3339Nano, stamp)
	for _, name := range []string{"logger", "message", "time", "level"} {
		delete(line.Fields, name)
	}
	return line, true
}

func (l Line) names(request string) bool {
	if l.Fields["request"] == request {
		return true
	}
	list, _ := l.Fields["requests"].([]any)
	return slices.Contains(list, any(request))
}

// Text renders the line for people.
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
		if value := l.Fields[name]; value != "" && value != float64(0) && value != false {
			fmt.Fprintf(&b, " %s=%v", name, value)
		}
	}
	return b.String()
}

// Text renders the story for people.
func (s Trace) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s: %s\n", s.Request, s.Cause)
	for _, line := range s.Lines {
		b.WriteString("  " + line.Text() + "\n")
	}
	if len(s.Beliefs) > 0 {
		b.WriteString("changes of belief around it:\n")
		for _, line := range s.Beliefs {
			b.WriteString("  " + line.Text() + "\n")
		}
	}
	return b.String()
}
