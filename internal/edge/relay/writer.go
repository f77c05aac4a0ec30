package relay

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/ragworthatch/ragworthatch/internal/edge/uphttp"
)

// Writer writes one answer to a caller.
type Writer struct {
	to      http.ResponseWriter
	control *http.ResponseController
	begun   bool
}

// New returns a writer of an answer to the caller.
func New(to http.ResponseWriter) *Writer {
	return &Writer{to: to, control: http.NewResponseController(to)}
}

// Started reports whether the status and headers were written.
func (w *Writer) Started() bool { return w.begun }

// Head writes the status and headers of the upstream, the first time it is called. The length of the body is -1 if
// unknown.
func (w *Writer) Head(status int, header http.Header, length int64) {
	if w.begun {
		return
	}
	w.begun = true
	h := w.to.Header()
	for name, values := range header {
		h[name] = values
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if h["Content-Type"] == nil {
		h["Content-Type"] = nil // keeps net/http from guessing one
	}
	w.to.WriteHeader(status)
}

// Body writes bytes and flushes them to the caller.
func (w *Writer) Body(p []byte) error {
	if len(p) > 0 {
		if _, err := w.to.Write(p); err != nil {
			return err
		}
	}
	return w.control.Flush()
}

// Abort closes the caller's connection by a panic, so that an incomplete answer does not look complete.
func (w *Writer) Abort() { panic(http.ErrAbortHandler) }

// FreeAnswerBytes is what ReadLimited reads without asking for memory: the size of a fixed buffer of a connection.
const FreeAnswerBytes = 8 << 10

// ReadLimited reads the body of an answer into memory, until about limit bytes. grow asks for memory beyond
// FreeAnswerBytes; without it, reading ends as at the limit. If whole is false, there is more to read, or err says why the
// body ended early.
func ReadLimited(a *uphttp.Answer, limit int, grow func(bytes int64) bool) (body []byte, whole bool, err error) {
	buffer := make([]byte, 0, 2048)
	for len(buffer) < limit {
		if size := cap(buffer); len(buffer) == size {
			if 2*size > FreeAnswerBytes && !grow(int64(size)) {
				return buffer, false, nil
			}
			buffer = append(make([]byte, 0, 2*size), buffer...)
		}
		n, err := a.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if err != nil {
			if errors.Is(err, io.EOF) {
				return buffer, true, nil
			}
			return buffer, false, err
		}
	}
	return buffer, false, nil
}
