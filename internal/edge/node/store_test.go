package node

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/ragworthatch/ragworthatch/platform"
)

// writerFirst is a connection on which the writer meets a reset before the reader, who does not learn of it.
type writerFirst struct {
	net.Conn
	reads  int
	failed chan struct{} // closed when a write has failed
	read   chan struct{} // closed when a read has returned after that
	once   sync.Once
}

func (w *writerFirst) Write(p []byte) (int, error) {
	n, err := w.Conn.Write(p)
	if err != nil {
		w.once.Do(func() { close(w.failed) })
		<-w.read
	}
	return n, err
}

func (w *writerFirst) Read(p []byte) (int, error) {
	if w.reads++; w.reads != 2 { // the first read takes what comes before the reset
		return w.Conn.Read(p)
	}
	<-w.failed
	defer close(w.read)
	return w.Conn.Read(p)
}

// A store answers an append at once, without a length, and resets the connection while the records are being sent.
func TestAppendsOfResetConnectionsFail(t *testing.T) {
	c := qt.New(t)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n{\"offset\":")
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}()
	client := storeClient()
	transport := client.Transport.(*http.Transport)
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		return &writerFirst{Conn: conn, failed: make(chan struct{}), read: make(chan struct{})}, err
	}
	store := platform.NewStore(listener.Addr().String(), client)
	err = store.Put(c.Context(), platform.TopicMembers, platform.Record{Key: "k", Value: make([]byte, 32<<20)})
	c.Check(err, qt.ErrorMatches, ".*connection reset by peer")
}
