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

var _ = Describe("log writer", func() {
	It("forwards all lines in order", func() {
		var b bytes.Buffer
		w := event.NewWriter(&b)
		for range 100 {
			_, err := io.WriteString(w, "line\n")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(w.Close()).To(Succeed())
		Expect(b.String()).To(Equal(strings.Repeat("line\n", 100)))
		Expect(w.TakeDropped()).To(BeZero())
	})

	It("never blocks while nothing reads, and counts the lines that it drops", func() {
		r, unread := io.Pipe()
		w := event.NewWriter(unread)
		const lines = 10_000
		for range lines {
			_, err := io.WriteString(w, "line\n")
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(w.TakeDropped()).To(BeZero(), "the buffer is full, so the count must be kept")
		read := make(chan int)
		go func() {
			b, _ := io.ReadAll(r)
			read <- strings.Count(string(b), "line\n")
		}()
		var dropped uint64
		Eventually(func() uint64 {
			dropped += w.TakeDropped()
			return dropped
		}).Should(BeNumerically(">", 5000))
		Expect(w.Close()).To(Succeed())
		Expect(unread.Close()).To(Succeed())
		Expect(<-read + int(dropped)).To(Equal(lines))
	})
})

func BenchmarkLog(b *testing.B) {
	for name, interval := range map[string]time.Duration{"written": time.Second, "suppressed": 0} {
		b.Run(name, func(b *testing.B) {
			l := event.NewLogger(io.Discard, event.JSON, event.Info, "test")
			e := currantturn.Event{Number: event.FlowReset, Fields: []currantturn.Field{
				event.F("flow", currantturn.FlowKey{}), event.F("reason", "no route"),
			}}
			now := time.Unix(1_000_000, 0)
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(interval)
				l.Log(now, e)
			}
		})
	}
}
