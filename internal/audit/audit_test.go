package audit_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/audit"
	"github.com/currantturn/currantturn/internal/suite"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/sebdah/goldie/v2"
	"pgregory.net/rapid"
)

func TestAudit(t *testing.T) { suite.Run(t, "audit") }

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func record(position uint64) *currantturn.Record {
	return &currantturn.Record{Position: position, Author: "asha", Time: start.Add(-time.Second)}
}

func TestTrailLines(t *testing.T) {
	var b bytes.Buffer
	trail := audit.NewTrail(&b, "entry-1", 4)
	trail.RecordSeen(start, record(1))
	trail.RecordSeen(start, record(2))
	trail.RecordVerdict(start, &audit.Evaluation{Position: 1, Accepted: true, Version: 1, Digest: "00ff"})
	trail.RecordVerdict(start, &audit.Evaluation{Position: 2, Reason: "builds on version 0, not 1"})
	trail.RecordInForce(start.Add(2*time.Second), 1)
	goldie.New(t).Assert(t, "trail", b.Bytes())
}

var _ = Describe("trail", func() {
	It("keeps the first receipt, verdict and time in force of a record", func() {
		trail := audit.NewTrail(nil, "entry-1", 4)
		for i := range 3 {
			now := start.Add(time.Duration(i) * time.Second)
			trail.RecordSeen(now, record(7))
			trail.RecordVerdict(now, &audit.Evaluation{Position: 7, Accepted: i == 0, Version: 3})
			trail.RecordInForce(now, 3)
		}
		Expect(trail.Entries(10)).To(Equal([]audit.Entry{{
			Position: 7, Author: "asha", Published: start.Add(-time.Second), Seen: start,
			Verdict: audit.Accepted, Version: 3, InForce: start,
		}}))
	})

	It("never marks a rejected, pending or later record as in force", func() {
		trail := audit.NewTrail(nil, "entry-1", 4)
		for p := range uint64(3) {
			trail.RecordSeen(start, record(p+1))
		}
		trail.RecordVerdict(start, &audit.Evaluation{Position: 1})
		trail.RecordVerdict(start, &audit.Evaluation{Position: 2, Accepted: true, Version: 9})
		trail.RecordInForce(start, 8)
		for _, e := range trail.Entries(10) {
			Expect(e.InForce.IsZero()).To(BeTrue())
		}
	})

	It("truncates the texts of publishers", func() {
		trail := audit.NewTrail(nil, "entry-1", 4)
		trail.RecordSeen(start, &currantturn.Record{Position: 1, Author: strings.Repeat("é", 1000)})
		Expect(trail.Entries(1)[0].Author).To(Equal(strings.Repeat("é", 128)))
	})

	It("returns the newest entries in order, like the tail of a slice", func() {
		rapid.Check(GinkgoT(), func(t *rapid.T) {
			capacity := rapid.IntRange(1, 5).Draw(t, "capacity")
			trail := audit.NewTrail(nil, "entry-1", capacity)
			var want []uint64
			for p := range rapid.Uint64Range(0, 20).Draw(t, "records") {
				trail.RecordSeen(start, record(p))
				want = append(want, p)
			}
			limit := rapid.IntRange(0, 7).Draw(t, "limit")
			want = want[max(0, len(want)-min(limit, capacity)):]
			got := trail.Entries(limit)
			if len(got) != len(want) {
				t.Fatalf("%d entries, want %v", len(got), want)
			}
			for i := range got {
				if got[i].Position != want[i] {
					t.Fatalf("entry %d is %d, want %v", i, got[i].Position, want)
				}
			}
		})
	})
})
