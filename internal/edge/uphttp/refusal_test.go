package uphttp_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/call"
	"github.com/ragworthatch/ragworthatch/internal/edge/uphttp"
)

func refusal(id string) string {
	return "HTTP/1.1 503 Full\r\nId: " + id + "\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"
}

func decodeRefusal(h http.Header) call.Answer {
	return call.Answer{RequestID: h.Get("Id"), NotRun: h.Get("Not-Run") != ""}
}

// An upstream writes a refusal once more in place of the answer to the next request on the connection.
func TestARepeatedRefusalIsNotTakenForALaterAnswer(t *testing.T) {
	for _, ids := range [][2]string{{"1", "2"}, {"1", "1"}, {"", ""}} {
		t.Run(strings.Join(ids[:], "-"), func(t *testing.T) {
			c := qt.New(t)
			refused := false
			address, _ := server(c, func(conn net.Conn, id string, nth int) bool {
				switch {
				case !refused:
					refused = true
					_, _ = io.WriteString(conn, refusal(id))
				case nth > 1:
					_, _ = io.WriteString(conn, refusal(ids[0]))
					fallthrough
				default:
					_, _ = io.WriteString(conn, answer(id, "ran"))
				}
				return true
			})
			client := uphttp.New(decodeRefusal, time.Now, func() {})
			_, err := send(client, address, http.MethodPost, ids[0])
			c.Assert(err, qt.IsNil)
			body, err := send(client, address, http.MethodPost, ids[1])
			c.Assert(err, qt.IsNil)
			c.Check(body, qt.Equals, "ran")
		})
	}
}
