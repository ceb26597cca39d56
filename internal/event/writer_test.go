package event_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a log writer", func() {
	It("passes all lines on in order", func() {
		var b bytes.Buffer
		w := event.NewWriter(&b)
		for range 100 {
			_, err := io.WriteString(w, "line\n")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(w.Close()).To(Succeed())
		Expect(b.String()).To(Equal(strings.Repeat("line\n", 100)))
		Expect(w.TakeLeftOut()).To(BeZero())
	})

	It("never blocks when nobody reads, and counts what it leaves out", func() {
		r, stuck := io.Pipe()
		w := event.NewWriter(stuck)
		const lines = 10_000
		for range lines {
			_, err := io.WriteString(w, "line\n")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(w.TakeLeftOut()).To(BeZero(), "there is no room to tell it")
		read := make(chan int)
		go func() {
			b, _ := io.ReadAll(r)
			read <- strings.Count(string(b), "line\n")
		}()
		var leftOut uint64
		Eventually(func() uint64 {
			leftOut += w.TakeLeftOut()
			return leftOut
		}).Should(BeNumerically(">", 5000))
		Expect(w.Close()).To(Succeed())
		Expect(stuck.Close()).To(Succeed())
		Expect(<-read + int(leftOut)).To(Equal(lines))
	})
})

func BenchmarkLog(b *testing.B) {
	for name, spread := range map[string]time.Duration{"written": time.Second, "left out by rate": 0} {
		b.Run(name, func(b *testing.B) {
			l := event.NewLogger(io.Discard, event.JSON, event.Info, "test")
			e := currantturn.Event{Number: event.FlowReset, Fields: []currantturn.Field{
				event.F("flow", currantturn.FlowKey{}), event.F("reason", "no route"),
			}}
			now := time.Unix(1_000_000, 0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(spread)
				l.Log(now, e)
			}
		})
	}
}
