package body

import (
	"io"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/rotisserie/eris"
)

// Read reads r, and returns ErrTooLarge if that has more than limit bytes. If nothing
// arrives for maxPause, it calls cancel, which has to make r fail.
func Read(r io.Reader, limit int64, maxPause time.Duration, cancel func()) ([]byte, error) {
	timer := time.AfterFunc(maxPause, cancel)
	defer timer.Stop()
	content, err := io.ReadAll(&resettingReader{io.LimitReader(r, limit+1), timer, maxPause})
	if err == nil && int64(len(content)) > limit {
		return nil, eris.Wrapf(currantturn.ErrTooLarge, "body of more than %d bytes", limit)
	}
	return content, err
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
