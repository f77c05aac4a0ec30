package head_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/internal/infra/client"
	"github.com/ragworthatch/ragworthatch/internal/ops/admin"
	"github.com/ragworthatch/ragworthatch/internal/ops/caller"
	"github.com/ragworthatch/ragworthatch/internal/ops/where"
	"github.com/ragworthatch/ragworthatch/platform"
)

// readers are the clients that read answers by way of net/http. Each takes the body of serve as an answer.
var readers = map[string]func(ctx context.Context, address string) error{
	"store, newest": func(ctx context.Context, address string) error {
		_, _, err := platform.NewStore(address, &http.Client{Transport: &http.Transport{}}).Newest(ctx, platform.TopicRules)
		return err
	},
	"store, append": func(ctx context.Context, address string) error {
		return platform.NewStore(address, &http.Client{Transport: &http.Transport{}}).Put(ctx, platform.TopicRules,
			platform.Record{Key: "k"})
	},
	"infra": func(ctx context.Context, address string) error {
		return client.New(address).Get(ctx, "/", &struct{}{})
	},
	"admin": func(ctx context.Context, address string) error {
		return admin.New(address, "token").Get(ctx, "/", &struct{}{})
	},
	"caller": func(ctx context.Context, address string) error {
		return caller.New("test").Call(ctx, address, caller.Request{ID: "r", Pipeline: "p", Deadline: time.Second}).Err
	},
	"where": func(ctx context.Context, address string) error {
		_, err := where.Ask(ctx, address, []byte("GET / HTTP/1.1\r\n\r\n"))
		return err
	},
}

// serve answers each request with a head, to which it adds the length, and a body that all readers take.
func serve(c *qt.C, head string) (address string) {
	sum := sha256.Sum256([]byte("1"))
	body := fmt.Sprintf(`{"requestId":"r","whole":true,"result":1,"digest":%q,"items":[],"error":{"verdict":"notRun","message":"m"}}`,
		hex.EncodeToString(sum[:]))
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
			}()
		}
	}()
	return listener.Addr().String()
}

func TestReadersRejectMalformedHeads(t *testing.T) {
	for name, read := range readers {
		for head, sound := range map[string]bool{
			"HTTP/1.1 200 OK\r\n":                true,
			"HTTP/1.1 000 Unknown\r\n":           false,
			"HTTP/1.1 099 Unknown\r\n":           false,
			"HTTP/1.1 999 Unknown\r\n":           false,
			"HTTP/1.1 200 OK\r\nBad Name: x\r\n": false,
			"HTTP/1.1 200 OK\r\nBad : x\r\n":     false,
			"HTTP/1.1 200 OK\r\nBad\x01: x\r\n":  false,
		} {
			t.Run(name+" "+head, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
				defer cancel()
				err := read(ctx, serve(c, head))
				c.Check(err == nil, qt.Equals, sound, qt.Commentf("%v", err))
			})
		}
	}
}
