package event

import (
	"io"
	"sync/atomic"
	"time"
)

// Writer forwards log lines without ever blocking its caller: while the reader
// of the log is slow, lines that exceed the buffer are dropped and counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

// NewWriter returns a writer that forwards lines to out until Close.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, maxBufferedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go w.forward(out)
	return w
}

// forward writes lines to out until Close, and then the buffered rest.
func (w *Writer) forward(out io.Writer) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line) // a failure of the log cannot be logged
		case <-w.stop:
			w.flush(out)
			return
		}
	}
}

// flush writes the buffered lines to out.
func (w *Writer) flush(out io.Writer) {
	for {
		select {
		case line := <-w.lines:
			_, _ = out.Write(line)
		default:
			return
		}
	}
}

// Write buffers a copy of one line, or drops the line if the buffer is full; it
// never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// TakeDropped returns how many lines were dropped since the last call. While the
// buffer is full it returns 0 and keeps the count, because the log line that
// reports it would be dropped too.
func (w *Writer) TakeDropped() uint64 {
	if len(w.lines) == cap(w.lines) {
		return 0
	}
	return w.dropped.Swap(0)
}

// Close writes the buffered lines, waiting closeTimeout at most.
func (w *Writer) Close() error {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
	return nil
}
