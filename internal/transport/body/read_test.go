package body_test

import (
	"bytes"
	"io"
	"testing"
	"time"

	"github.com/currantturn/currantturn/internal/suite"
	"github.com/currantturn/currantturn/internal/transport/body"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestBody(t *testing.T) { suite.Run(t, "body") }

var _ = Describe("a body", func() {
	It("is read whole however long it takes, while data arrives", func() {
		r, w := io.Pipe()
		go func() {
			defer GinkgoRecover()
			for range 20 {
				_, err := w.Write([]byte("0123456789"))
				Expect(err).NotTo(HaveOccurred())
				time.Sleep(20 * time.Millisecond)
			}
			_ = w.Close()
		}()
		p, err := body.Read(r, 1000, 200*time.Millisecond, func() { _ = r.CloseWithError(io.ErrUnexpectedEOF) })
		Expect(err).NotTo(HaveOccurred())
		Expect(p).To(HaveLen(200))
	})

	It("is given up when nothing arrives any more", func() {
		r, w := io.Pipe()
		go func() { _, _ = w.Write([]byte("part")) }()
		_, err := body.Read(r, 1000, 50*time.Millisecond, func() { _ = w.CloseWithError(io.ErrUnexpectedEOF) })
		Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	})

	It("is read up to the limit", func() {
		p, err := body.Read(bytes.NewReader(make([]byte, 100)), 10, time.Second, func() {})
		Expect(err).NotTo(HaveOccurred())
		Expect(p).To(HaveLen(10))
	})
})
