package kit

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Request is one attempt of a client.
type Request struct {
	Method   string
	Path     string
	ID       string
	Key      string
	Deadline time.Duration
	Body     string
	Header   []string // further lines
}

// Answer is what the client saw.
type Answer struct {
	Status int // 0 if the channel ended without one
	Header http.Header
	Body   []byte
	Whole  bool // the answer looks complete
	Err    error
	Sent   time.Time
	Took   time.Duration
}

// Do sends one request on a new channel.
func Do(address string, r Request) (a Answer) {
	a.Sent = time.Now()
	defer func() { a.Took = time.Since(a.Sent) }()
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		a.Err = err
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(a.Sent.Add(r.Deadline + time.Second))
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", r.Method, r.Path, r.ID,
		r.Deadline.Milliseconds())
	if r.Key != "" {
		fmt.Fprintf(&head, "Credential: %s\r\n", r.Key)
	}
	for _, line := range r.Header {
		head.WriteString(line + "\r\n")
	}
	if r.Method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(r.Body))
	}
	head.WriteString("\r\n" + r.Body)
	if _, err := conn.Write(head.Bytes()); err != nil {
		a.Err = err
		return a
	}
	got, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: r.Method})
	if err != nil {
		a.Err = err
		return a
	}
	defer got.Body.Close()
	a.Status, a.Header = got.StatusCode, got.Header
	a.Body, a.Err = io.ReadAll(got.Body)
	a.Whole = a.Err == nil
	return a
}

// Record is the file record.txt of a case.
type Record struct {
	mu   sync.Mutex
	file *os.File
	from time.Time
}

// NewRecord creates the file in the folder of the case.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: file, from: time.Now()}, nil
}

// Linef writes a line, which begins with the time since the start.
func (r *Record) Linef(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.from).Seconds()) + fmt.Sprintf(format, args...) + "\n"
	_, _ = r.file.WriteString(line)
}

// Close closes the file.
func (r *Record) Close() { _ = r.file.Close() }

// ErrBroken says that the rule was broken.
var ErrBroken = errors.New("the rule is broken")

// Main runs a case in the folder that the command line names. With TROUBLE=0 in the environment there is no disruption. It
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func Main(run func(record *Record, trouble bool) error) {
	os.Exit(exitCode(run))
}

func exitCode(run func(record *Record, trouble bool) error) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM FOLDER")
		return 2
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer record.Close()
	err = run(record, os.Getenv("TROUBLE") != "0")
	switch {
	case errors.Is(err, ErrBroken):
		record.Linef("%v", err)
		fmt.Println(err)
		return 1
	case err != nil:
		record.Linef("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	record.Linef("the rule held")
	fmt.Println("the rule held")
	return 0
}
