package body_test

import (
	"bytes"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/suite"
	"github.com/currantturn/currantturn/internal/transport/body"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBody(t *testing.T) { suite.Run(t, "body") }

const maxPause = 200 * time.Millisecond

// TestLongBody and TestPause run in a time of their own, since a busy machine may not run a
// writer for longer than the pause allowed.
func TestLongBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, w := io.Pipe()
		go func() {
			for range 20 {
				_, err := w.Write([]byte("0123456789"))
				g.Expect(err).NotTo(HaveOccurred())
				time.Sleep(maxPause - time.Millisecond)
			}
			_ = w.Close()
		}()
		p, err := body.Read(r, 1000, maxPause, func() { _ = r.CloseWithError(io.ErrUnexpectedEOF) })
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(p).To(HaveLen(200))
	})
}

func TestPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, w := io.Pipe()
		started := time.Now()
		go func() { _, _ = w.Write([]byte("part")) }()
		_, err := body.Read(r, 1000, maxPause, func() { _ = w.CloseWithError(io.ErrUnexpectedEOF) })
		g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
		g.Expect(time.Since(started)).To(Equal(maxPause))
	})
}

var _ = Describe("a body", func() {
	It("is read if it is not above the limit", func() {
		p, err := body.Read(bytes.NewReader(make([]byte, 10)), 10, time.Second, func() {})
		Expect(err).NotTo(HaveOccurred())
		Expect(p).To(HaveLen(10))
	})

	// Guards against the part of a body that passes for the whole (review/3).
	It("is refused above the limit", func() {
		p, err := body.Read(bytes.NewReader(make([]byte, 11)), 10, time.Second, func() {})
		Expect(err).To(MatchError(currantturn.ErrTooLarge))
		Expect(p).To(BeEmpty())
	})
})
