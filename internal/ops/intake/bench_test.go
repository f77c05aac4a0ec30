package intake_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/ragworthatch/ragworthatch/internal/ops/intake"
)

// serveUnbounded is the server of newBed without an intake.
func serveUnbounded(tb testing.TB) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(http.MaxBytesReader(w, r.Body, 4<<20))
		_, _ = io.WriteString(w, strings.Repeat("x", len(body)%7))
	})}
	go func() { _ = server.Serve(ln) }()
	tb.Cleanup(func() { _ = server.Close() })
	return ln.Addr().String()
}

// addresses are those of a server without bounds and of one with them.
func addresses(b *testing.B) map[string]string {
	return map[string]string{"unbounded": serveUnbounded(b), "bounded": newBed(b, intake.Limits{}).address}
}

// BenchmarkRequests measures a request on a kept connection, by the size of its body.
func BenchmarkRequests(b *testing.B) {
	for _, size := range []struct{ name, body string }{{"none", ""}, {"1kB", strings.Repeat("b", 1000)}, {"4MB", strings.Repeat("b", 4<<20)}} {
		for _, kind := range []string{"unbounded", "bounded"} {
			b.Run(size.name+"/"+kind, func(b *testing.B) {
				conn, err := net.Dial("tcp", addresses(b)[kind])
				if err != nil {
					b.Fatal(err)
				}
				defer conn.Close()
				reader := bufio.NewReader(conn)
				request, _ := http.NewRequest(http.MethodPost, "http://a/", strings.NewReader(size.body))
				for _, name := range []string{"Request-Id", "Credential", "Deadline-Ms", "Model", "Token-Counts", "Prompt-Prefix"} {
					request.Header.Set(name, "value-of-a-header")
				}
				var text strings.Builder
				_ = request.Write(&text)
				b.ReportAllocs()
				for b.Loop() {
					_, _ = io.WriteString(conn, text.String())
					if got := result(reader); got == "closed" {
						b.Fatal(got)
					}
				}
			})
		}
	}
}

// BenchmarkOpenConnections measures the memory of a connection with an unfinished head or body, client included.
func BenchmarkOpenConnections(b *testing.B) {
	for name, sent := range map[string]string{"idle": "", "head": "POST / HTTP/1.1\r\nHost: a\r\n",
		"body": "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nx"} {
		for _, kind := range []string{"unbounded", "bounded"} {
			b.Run(name+"/"+kind, func(b *testing.B) {
				address := addresses(b)[kind]
				before := inUse()
				for b.Loop() {
					conn, err := net.Dial("tcp", address)
					if err != nil {
						b.Fatal(err)
					}
					defer conn.Close()
					_, _ = io.WriteString(conn, sent)
					if b.N > 400 {
						b.SkipNow()
					}
				}
				b.ReportMetric(float64(inUse()-before)/float64(b.N), "B/connection")
			})
		}
	}
}

// inUse returns the bytes of heap and stacks.
func inUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
