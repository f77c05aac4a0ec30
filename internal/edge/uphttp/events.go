package uphttp

// eventTail tracks whether a body of server-sent events ends inside one. The zero value is before the first event.
type eventTail struct {
	inside  bool // bytes other than blanks have come since the last blank line
	inLine  bool // the current line is not empty
	afterCR bool // an LF belongs to the line that has ended
}

// add adds the next bytes of the body. A line ends with LF, CR or both; a blank line ends an event.
func (t *eventTail) add(p []byte) {
	for _, b := range p {
		switch {
		case b == '\n' && t.afterCR:
		case b == '\n' || b == '\r':
			t.inside = t.inside && t.inLine
			t.inLine = false
		default:
			t.inLine = true
			t.inside = t.inside || (b != ' ' && b != '\t')
		}
		t.afterCR = b == '\r'
	}
}
