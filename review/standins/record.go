package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what happens to the file record.txt, a line for each event, with the seconds since the start.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, start: time.Now()}, nil
}

// at returns the seconds between the start and a moment.
func (r *recorder) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f  %s\n", r.at(time.Now()), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *recorder) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf("%9.3f  %s\n", r.at(time.Now()), fmt.Sprintf(format, args...))
}
