package event

import (
	"io"
	"sync/atomic"
	"time"
)

// Writer passes log lines on without ever blocking its caller: while the reader
// of the log is slow, lines beyond the buffer are left out and counted.
type Writer struct {
	lines   chan []byte
	leftOut atomic.Uint64
	stop    chan struct{}
	done    chan struct{}
}

// NewWriter returns a writer that passes lines on to w until Close.
func NewWriter(w io.Writer) *Writer {
	x := &Writer{lines: make(chan []byte, bufferedLines), stop: make(chan struct{}), done: make(chan struct{})}
	go x.pass(w)
	return x
}

func (x *Writer) pass(w io.Writer) {
	defer close(x.done)
	for {
		select {
		case line := <-x.lines:
			_, _ = w.Write(line) // there is no better place to report it
		case <-x.stop:
			x.drain(w)
			return
		}
	}
}

// drain passes on what is buffered.
func (x *Writer) drain(w io.Writer) {
	for {
		select {
		case line := <-x.lines:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}

// Write takes one line, or leaves it out if the buffer is full.
func (x *Writer) Write(line []byte) (int, error) {
	select {
	case x.lines <- append([]byte(nil), line...):
	default:
		x.leftOut.Add(1)
	}
	return len(line), nil
}

// TakeLeftOut returns how many lines were left out since the last call, once
// there is room for a line that tells so.
func (x *Writer) TakeLeftOut() uint64 {
	if len(x.lines) == cap(x.lines) {
		return 0
	}
	return x.leftOut.Swap(0)
}

// Close passes on what is buffered, for closeGrace at most.
func (x *Writer) Close() error {
	close(x.stop)
	select {
	case <-x.done:
	case <-time.After(closeGrace):
	}
	return nil
}
