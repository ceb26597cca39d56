package deployment

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that tells what was sent, answered and run.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	w       *bufio.Writer
	started time.Time
}

func newRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: f, w: bufio.NewWriter(f), started: time.Now()}, nil
}

// Add adds a line with the time since the start, who saw it, and what was seen.
func (r *Record) Add(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.4f %s: %s\n", time.Since(r.started).Seconds(), who, fmt.Sprintf(format, args...))
}

// Note adds a line and prints it.
func (r *Record) Note(format string, args ...any) {
	r.Add("case", format, args...)
	fmt.Printf("%7.2f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *Record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush() // the verdict stands without it
	_ = r.file.Close()
}
