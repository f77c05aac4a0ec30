package intake

import (
	"bytes"
	"strconv"
	"strings"
)

// state is the part of a message that the next byte belongs to.
type state string

// The states of a scanner.
const (
	atStart    state = "start"    // before the first byte of a message, or in empty lines before it
	inHead     state = "head"     // in the request line and the header
	inBody     state = "body"     // in a body with a length
	inSize     state = "size"     // in the line with the size of a chunk
	inChunk    state = "chunk"    // in a chunk with the line end after it
	inTrailers state = "trailers" // in the lines after the last chunk
)

// maxFieldBytes bounds what is kept of a header line that frames the body. A longer one is refused.
const maxFieldBytes = 256

const version10 = "HTTP/1.0"

// scanner follows the messages in the bytes of a connection and counts the lines and bytes of their heads, without keeping
// them. It takes a body to be framed as net/http does; where a message is not valid, net/http closes the connection.
type scanner struct {
	state    state
	bytes    int    // of the head and the trailers of this message
	lines    int    // of these
	empty    int    // bytes of empty lines before this message
	lineSize int    // bytes of the current line so far, without CR and LF
	field    []byte // the beginning of the current line, if it may frame the body
	framing  bool   // field was such a line and may go on in the next one
	left     int64  // bytes of the body or chunk to come
	length   int64  // Content-Length of this message
	chunked  bool   // Transfer-Encoding of this message
	http10   bool   // HTTP/1.0, where net/http ignores Transfer-Encoding
	invalid  bool   // a field that frames the body is too long to be evaluated
}

// next scans bytes up to the end of a head, of a body or chunk, or of a message. It returns their number and whether a
// message ends there. The counts of a message stay until the next one begins.
func (s *scanner) next(p []byte) (n int, ends bool) {
	for n < len(p) {
		switch s.state {
		case inBody, inChunk:
			step := min(int64(len(p)-n), s.left)
			n += int(step)
			if s.left -= step; s.left > 0 {
				return n, false
			}
			if s.state == inBody {
				s.state = atStart
				return n, true
			}
			s.state, s.lineSize = inSize, 0
		default:
			rest := p[n:]
			end := bytes.IndexByte(rest, '\n')
			if end < 0 {
				s.addToLine(rest)
				return len(p), false
			}
			s.addToLine(rest[:end+1])
			n += end + 1
			if stop := s.endLine(); stop {
				return n, s.state == atStart
			}
		}
	}
	return n, false
}

// addToLine counts bytes of the current line, which may end with LF.
func (s *scanner) addToLine(p []byte) {
	text := bytes.TrimRight(p, "\r\n")
	if s.state == atStart {
		if len(text) == 0 {
			s.empty += len(p)
			return
		}
		*s = scanner{state: inHead, field: s.field[:0]}
	}
	if s.state == inHead || s.state == inTrailers {
		s.bytes += len(p)
	}
	if s.lineSize == 0 && len(text) > 0 {
		s.beginLine(text[0])
	}
	if s.framing || s.state == inSize {
		s.field = append(s.field, text[:min(len(text), maxFieldBytes-len(s.field))]...)
	}
	if s.state == inHead && s.lines == 0 { // keep the end of the request line
		s.field = append(s.field, text[max(0, len(text)-len(version10)):]...)
		s.field = s.field[max(0, len(s.field)-len(version10)):]
	}
	s.lineSize += len(text)
}

// beginLine decides by the first byte of a line whether it may frame the body. A line that begins with a blank continues the
// one before.
func (s *scanner) beginLine(first byte) {
	continues := s.framing && (first == ' ' || first == '\t')
	if s.state != inHead || continues {
		return
	}
	s.applyField()
	s.framing = s.lines > 0 && (first|0x20 == 'c' || first|0x20 == 't')
}

// endLine ends the current line, and reports whether a head or a message ends with it.
func (s *scanner) endLine() bool {
	size := s.lineSize
	s.lineSize = 0
	switch s.state {
	case inHead:
		if s.lines++; s.lines == 1 {
			s.http10 = string(s.field) == version10
			s.field = s.field[:0]
		}
		if size > 0 {
			return false
		}
		s.applyField()
		switch {
		case s.chunked:
			s.state = inSize
		case s.length > 0:
			s.state, s.left = inBody, s.length
		default:
			s.state = atStart
		}
		return true
	case inSize:
		text, _, _ := strings.Cut(string(s.field), ";")
		s.field = s.field[:0]
		chunk, err := strconv.ParseInt(strings.TrimSpace(text), 16, 62)
		s.state, s.left = inChunk, chunk+int64(len("\r\n"))
		s.invalid = s.invalid || err != nil || chunk < 0
		if err != nil || chunk <= 0 {
			s.state = inTrailers
		}
	case inTrailers:
		s.lines++
		if size == 0 {
			s.state = atStart
			return true
		}
	}
	return false
}

// applyField evaluates a header line that may frame the body.
func (s *scanner) applyField() {
	if s.framing {
		name, value, _ := bytes.Cut(s.field, []byte(":"))
		value = bytes.TrimSpace(value)
		switch {
		case len(s.field) >= maxFieldBytes && (bytes.EqualFold(name, []byte("Content-Length")) ||
			bytes.EqualFold(name, []byte("Transfer-Encoding"))):
			s.invalid = true
		case bytes.EqualFold(name, []byte("Content-Length")):
			if n, err := strconv.ParseInt(string(value), 10, 63); err == nil && n >= 0 {
				s.length = n
			}
		case bytes.EqualFold(name, []byte("Transfer-Encoding")):
			s.chunked = s.chunked || !s.http10 && bytes.EqualFold(value, []byte("chunked"))
		}
	}
	s.framing, s.field = false, s.field[:0]
}
