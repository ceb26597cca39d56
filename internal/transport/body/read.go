package body

import (
	"io"
	"time"
)

// Read reads r up to limit bytes. If nothing arrives for maxPause, it calls cancel, which
// has to make r fail.
func Read(r io.Reader, limit int64, maxPause time.Duration, cancel func()) ([]byte, error) {
	timer := time.AfterFunc(maxPause, cancel)
	defer timer.Stop()
	return io.ReadAll(&resettingReader{io.LimitReader(r, limit), timer, maxPause})
}

// resettingReader resets a timer whenever data arrives.
type resettingReader struct {
	io.Reader
	timer    *time.Timer
	maxPause time.Duration
}

// Read reads from the underlying reader.
func (r *resettingReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.timer.Reset(r.maxPause)
	}
	return n, err
}
