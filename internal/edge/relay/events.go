package relay

import (
	"bytes"
	"errors"
	"strings"
)

// maxBytesWithoutID bounds the bytes between two events with an ID; a faulty upstream may send others without end.
const maxBytesWithoutID = 256 << 10

// ErrNoEvents means that a stream sent too many bytes without an event that has an ID.
var ErrNoEvents = errors.New("the stream goes on too long without events that have an ID")

// EventSplitter splits a stream of server-sent events into whole ones and remembers the last ID.
type EventSplitter struct {
	partial      []byte // start of an event whose end has not been read
	lastID       string
	count        int // whole events with data or an ID
	bytesSinceID int // added since the last ID was found
}

// Add adds bytes and returns the events that they complete; the error is ErrNoEvents after too many bytes without an
// ID.
func (e *EventSplitter) Add(p []byte) ([]byte, error) {
	if e.bytesSinceID += len(p); e.bytesSinceID > maxBytesWithoutID {
		return nil, ErrNoEvents
	}
	e.partial = append(e.partial, p...)
	end := 0
	for {
		size := eventEnd(e.partial[end:])
		if size == 0 {
			break
		}
		e.record(e.partial[end : end+size])
		end += size
	}
	if end == 0 {
		return nil, nil
	}
	whole := append([]byte(nil), e.partial[:end]...)
	e.partial = append(e.partial[:0], e.partial[end:]...)
	return whole, nil
}

// Rest returns the bytes after the last whole event, and drops them.
func (e *EventSplitter) Rest() []byte {
	rest := e.partial
	e.partial = nil
	return rest
}

// LastID is the last ID of a whole event; empty if there was none.
func (e *EventSplitter) LastID() string { return e.lastID }

// Count is the number of whole events that have data or an ID.
func (e *EventSplitter) Count() int { return e.count }

// eventEnd returns the length of the first event, including its blank line; 0 if it is not whole. A line ends with LF,
// CR or both.
func eventEnd(p []byte) int {
	for at := 0; ; {
		n := bytes.IndexAny(p[at:], "\r\n")
		if n < 0 {
			return 0
		}
		end := at + n + 1
		switch {
		case p[end-1] == '\r' && end < len(p) && p[end] == '\n':
			end++
		case p[end-1] == '\r' && end == len(p) && n > 0:
			return 0 // an LF may follow
		}
		if n == 0 {
			return end
		}
		at = end
	}
}

// record records the ID of a whole event and counts the event, unless it is only comments and blank lines.
func (e *EventSplitter) record(event []byte) {
	counted := false
	for line := range strings.FieldsFuncSeq(string(event), func(r rune) bool { return r == '\r' || r == '\n' }) {
		name, value, ok := strings.Cut(line, ":")
		switch {
		case ok && name == "id":
			e.lastID = strings.TrimPrefix(value, " ")
			e.bytesSinceID = 0
			counted = true
		case name == "data":
			counted = true
		}
	}
	if counted {
		e.count++
	}
}
