package trace

import (
	"fmt"
	"net/http"
	"slices"
)

// refusals say what a reason of the leader means.
var refusals = map[string]string{
	"overloaded":  "it could not meet its target, and late work for the same stages waited in vain",
	"expired":     "it waited too long for a place in a stage",
	"paused":      "all engines had asked its entry for a pause",
	"noUpstreams": "a pool on its way had no upstream that takes work",
	"failing":     "the calls of a stage failed too often",
}

// codes say what the code of a failure means.
var codes = map[string]string{
	"notReady":     "the entry knew no configuration yet",
	"notFound":     "the configuration in force had no route for it",
	"unauthorized": "the configuration in force did not hold its key",
	"draining":     "the entry or the upstream was leaving",
	"quarantined":  "requests like it had broken down upstreams",
	"noUpstream":   "no upstream could be reached",
	"canceled":     "its caller left",
	"transport":    "the upstream closed the connection without an answer, so it may have run",
	"incomplete":   "the upstream's answer broke off",
	"malformed":    "the upstream sent bytes that are no answer to it",
	"deadline":     "no answer came in time",
	"tooLarge":     "its body was too large",
	"badRequest":   "it could not be read",
	"conflict":     "the results of its stages were lost",
	"wrongTarget":  "another upstream had the address",
}

// cause names what decided the request's fate, and how long ago its caller had sent it first.
func (s Trace) cause() string {
	for _, line := range s.Lines {
		if ms, ok := line.Fields["waited"].(float64); ok && line.Message == "caller comes back" {
			return fmt.Sprintf("%s; its caller had first sent it %.0f ms before, so its target was that much nearer", s.fate(), ms)
		}
	}
	return s.fate()
}

// fate names what decided, from the last lines.
func (s Trace) fate() string {
	if len(s.Lines) == 0 {
		return "no line names it; the logs are of other hosts or times, or its lines were dropped (look for \"log lines dropped\")"
	}
	refused := ""
	for _, line := range s.Lines {
		if reason, _ := line.Fields["refused"].(string); reason != "" {
			refused = reason
		}
	}
	for i := len(s.Lines) - 1; i >= 0; i-- {
		line := s.Lines[i]
		switch line.Message {
		case "sent":
			if status, ok := line.Fields["status"].(float64); ok && line.Fields["notRun"] != true && !s.isStream(status) {
				return fmt.Sprintf("answered: status %.0f of upstream %v was passed on", status, line.Fields["upstream"])
			}
		case "served":
			if late(s.Lines) {
				return "served, but known to be late when it was placed"
			}
			return "served"
		case "failed":
			code, _ := line.Fields["code"].(string)
			verdict, _ := line.Fields["verdict"].(string)
			if why, ok := refusals[refused]; ok && code == "overloaded" {
				return fmt.Sprintf("refused (%s): %s", verdict, why)
			}
			if why, ok := codes[code]; ok {
				return fmt.Sprintf("failed (%s): %s", verdict, why)
			}
			return fmt.Sprintf("failed (%s): %s", verdict, code)
		}
	}
	return "no end of it is logged; the process may have been killed, see the starts below"
}

// isStream says whether more lines are due after an answer with a status: streams, which are decided on, end with a line.
func (s Trace) isStream(status float64) bool {
	return status == http.StatusOK && slices.ContainsFunc(s.Lines, func(l Line) bool { return l.Message == "decided" })
}

func late(lines []Line) bool {
	for _, line := range lines {
		if line.Fields["late"] == true {
			return true
		}
	}
	return false
}
