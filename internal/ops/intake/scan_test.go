package intake

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"os"
	"strings"
	"testing"
)

// seeds are messages of ordinary clients and of those that occupy memory.
func seeds(f *testing.F) {
	data, err := os.ReadFile("testdata/messages.txt")
	if err != nil {
		f.Fatal(err)
	}
	for message := range strings.SplitSeq(string(data), "----\n") {
		f.Add([]byte(strings.NewReplacer("\n", "\r\n", "{many}", strings.Repeat("a:\n", 400)).Replace(message)), 7)
	}
}

// FuzzFraming guards against a scanner that takes a part of a body for a head, or the reverse: what net/http accepts as
// requests must have the same ends, in one piece and in pieces of any size.
func FuzzFraming(f *testing.F) {
	seeds(f)
	f.Fuzz(func(t *testing.T, data []byte, piece int) {
		source := bytes.NewReader(data)
		reader := bufio.NewReader(source)
		whole, pieces := scanner{state: atStart}, scanner{state: atStart}
		at := 0
		for {
			r, err := http.ReadRequest(reader)
			if err != nil || !r.ProtoAtLeast(1, 1) {
				return // the connection is closed
			}
			_, err = io.Copy(io.Discard, r.Body)
			if err != nil {
				return
			}
			end := len(data) - source.Len() - reader.Buffered()
			scanAll(t, &whole, data[at:end], end-at)
			scanAll(t, &pieces, data[at:end], 1+abs(piece)%64)
			if whole.lines != pieces.lines || whole.bytes != pieces.bytes {
				t.Fatalf("lines %d and %d, bytes %d and %d", whole.lines, pieces.lines, whole.bytes, pieces.bytes)
			}
			at = end
		}
	})
}

func abs(n int) int { return max(n, -(n + 1)) }

// scanAll scans a message in pieces and checks that it ends where the bytes do, and nowhere before.
func scanAll(t *testing.T, s *scanner, message []byte, piece int) {
	for at := 0; at < len(message); {
		n, ends := s.next(message[at:min(len(message), at+max(1, piece))])
		at += n
		if ends != (at == len(message)) {
			t.Fatalf("%q: message ends at byte %d of %d: %v, state %s", message, at, len(message), ends, s.state)
		}
	}
}
