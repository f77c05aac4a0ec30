package trace

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
)

// refusalTexts explains the reasons for which the leader refuses a request.
var refusalTexts = map[string]string{
	"overloaded":  "it could not meet its target, and late work for the same stages waited in vain",
	"expired":     "it waited too long for a place in a stage",
	"paused":      "all engines had asked its entry for a pause",
	"noUpstreams": "a pool on its way had no upstream that takes work",
	"crowded":     "the engines had too many prompts to read, or too little memory, for a request of its rank",
	"failing":     "the calls of a stage failed too often",
	"limited":     "all upstreams had named limits that other requests used up",
}

// failureTexts explains the error codes of failed requests.
var failureTexts = map[string]string{
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
	"upstream":     "the upstream answered with an error that was not passed on; its line \"sent\" has the status",
}

// describeCause explains the outcome of the request and, if it was a retry, how long before its caller had first sent
// it.
func (t Trace) describeCause() string {
	for _, line := range t.Lines {
		if ms, ok := line.Fields["waited"].(float64); ok && line.Message == "caller comes back" {
			return fmt.Sprintf("%s; its caller had first sent it %.0f ms before, so its target was that much nearer",
				t.describeOutcome(), ms)
		}
	}
	return t.describeOutcome()
}

// describeOutcome explains the outcome of the request from the last line that settles it.
func (t Trace) describeOutcome() string {
	if len(t.Lines) == 0 {
		return "no line names it; the logs are of other hosts or times, or its lines were dropped (look for \"log lines dropped\")"
	}
	refused := ""
	for _, line := range t.Lines {
		if reason, _ := line.Fields["refused"].(string); reason != "" {
			refused = reason
		}
	}
	for i := len(t.Lines) - 1; i >= 0; i-- {
		line := t.Lines[i]
		switch line.Message {
		case "sent":
			if status, ok := line.Fields["status"].(float64); ok && line.Fields["notRun"] != true && !t.isStream(status) {
				return fmt.Sprintf("answered: status %.0f of upstream %v was passed on", status, line.Fields["upstream"])
			}
		case "served":
			if placedLate(t.Lines) {
				return "served, but known to be late when it was placed"
			}
			return "served"
		case "failed":
			code, _ := line.Fields["code"].(string)
			verdict, _ := line.Fields["verdict"].(string)
			if text, ok := refusalTexts[refused]; ok && code == "overloaded" {
				return fmt.Sprintf("refused (%s): %s%s", verdict, text, describeCompetition(t.Lines))
			}
			if short, _ := line.Fields["short"].(string); short != "" {
				return fmt.Sprintf("refused (%s): its entry was short of %s, see the lines \"process short\"", verdict, short)
			}
			if text, ok := failureTexts[code]; ok {
				return fmt.Sprintf("failed (%s): %s", verdict, text)
			}
			return fmt.Sprintf("failed (%s): %s", verdict, code)
		}
	}
	return "no end of it is logged; the process may have been killed, see the starts below"
}

// describeCompetition says what the upstreams of the stage pool with the longest queue did, and what waited there, when
// the leader refused the request.
func describeCompetition(lines []Line) string {
	var pools []any
	for _, line := range lines {
		if listed, ok := line.Fields["pools"].([]any); ok && line.Message == "refused" {
			pools = listed
		}
	}
	var fullest map[string]any
	for _, p := range pools {
		pool, ok := p.(map[string]any)
		if ok && (fullest == nil || sumOf(pool["waiting"]) > sumOf(fullest["waiting"])) {
			fullest = pool
		}
	}
	if fullest == nil {
		return ""
	}
	text := fmt.Sprintf("; in pool %v ran %s and waited %s, with %v upstreams free", fullest["pool"],
		piecesByRank(fullest["running"]), piecesByRank(fullest["waiting"]), fullest["free"])
	if holders, _ := fullest["holders"].([]any); len(holders) > 0 {
		text += fmt.Sprintf("; requests that ran there: %v", holders)
	}
	return text
}

// sumOf adds the pieces of all ranks.
func sumOf(byRank any) float64 {
	sum := 0.0
	ranks, _ := byRank.(map[string]any)
	for _, n := range ranks {
		pieces, _ := n.(float64)
		sum += pieces
	}
	return sum
}

// piecesByRank lists the pieces of each rank.
func piecesByRank(byRank any) string {
	ranks, _ := byRank.(map[string]any)
	var parts []string
	for _, rank := range slices.Sorted(maps.Keys(ranks)) {
		parts = append(parts, fmt.Sprintf("%v of rank %s", ranks[rank], rank))
	}
	if len(parts) == 0 {
		return "nothing"
	}
	return strings.Join(parts, ", ")
}

// isStream reports whether a line about the end follows an answer with the given status. It does for streams: a
// successful answer to a request that the leader decided on.
func (t Trace) isStream(status float64) bool {
	return status == http.StatusOK && slices.ContainsFunc(t.Lines, func(l Line) bool { return l.Message == "decided" })
}

// placedLate reports whether the request was already expected to miss its target when it was placed.
func placedLate(lines []Line) bool {
	for _, line := range lines {
		if line.Fields["late"] == true {
			return true
		}
	}
	return false
}
