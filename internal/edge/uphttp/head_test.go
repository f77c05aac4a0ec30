package uphttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/edge/uphttp"
)

// An upstream stops anywhere in the head of its answer and closes the connection.
func TestAnAnswerCutInItsHeadIsNone(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\nContent-Length: 1234\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nStamp: s\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\nId: 1\nContent-Length: 0\n\n",
	} {
		for size := range len(head) {
			c := qt.New(t)
			address, _ := server(c, func(conn net.Conn, _ string, _ int) bool {
				_, _ = io.WriteString(conn, head[:size])
				return false
			})
			client := uphttp.New(decode, time.Now, func() {})
			got, failure := client.Do(context.Background(), address, uphttp.Request{
				Method: http.MethodGet, URI: "/x", Host: "h", ID: "1", Header: http.Header{"Id": {"1"}},
			})
			if failure == nil {
				got.Close()
				c.Fatalf("an answer after %q", head[:size])
			}
		}
	}
}
