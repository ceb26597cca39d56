package caller_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/currantturn/currantturn/internal/protocol/request"
	"github.com/currantturn/currantturn/internal/suite"
	"github.com/currantturn/currantturn/pkg/caller"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCaller(t *testing.T) { suite.Run(t, "caller") }

// scriptedDoer replies to each attempt with the next outcome, and to further ones with
// the last; "" stands for a lost connection.
type scriptedDoer struct {
	outcomes []request.Outcome
	keys     []string // key of each attempt
}

func (s *scriptedDoer) Do(r *http.Request) (*http.Response, error) {
	s.keys = append(s.keys, r.Header.Get(request.HeaderKey))
	o := s.outcomes[min(len(s.keys), len(s.outcomes))-1]
	if o == "" {
		return nil, errors.New("connection lost")
	}
	res := &http.Response{StatusCode: o.Status(), Header: http.Header{}, Body: io.NopCloser(strings.NewReader("body"))}
	res.Header.Set(request.HeaderOutcome, string(o))
	return res, nil
}

// keyNumbers returns the number of the key that each attempt used; keys are numbered
// from 1 in the order of first use.
func (s *scriptedDoer) keyNumbers() []int {
	seen := map[string]int{}
	var out []int
	for _, k := range s.keys {
		if seen[k] == 0 {
			seen[k] = len(seen) + 1
		}
		out = append(out, seen[k])
	}
	return out
}

var _ = Describe("client", func() {
	DescribeTable("keeps the key or takes a new one between attempts", func(ctx SpecContext, want error, keys []int, outcomes ...request.Outcome) {
		limited, cancel := context.WithTimeout(ctx, time.Second)
		defer cancel()
		s := &scriptedDoer{outcomes: outcomes}
		res, err := caller.New(s, time.Now).Do(limited, &caller.Request{Method: "POST", URL: "https://verify/check"})
		if want == nil {
			Expect(err).NotTo(HaveOccurred())
			Expect(res.Header.Get(request.HeaderOutcome)).To(Equal("answered"))
		} else {
			Expect(err).To(MatchError(want))
		}
		Expect(s.keyNumbers()[:len(keys)]).To(Equal(keys))
	},
		Entry("answered: no retry", nil, []int{1}, request.Answered),
		Entry("lost connection: same key", nil, []int{1, 1}, request.Outcome(""), request.Answered),
		Entry("unknown outcome: same key", nil, []int{1, 1}, request.Unknown, request.Answered),
		Entry("not run: new key", nil, []int{1, 2}, request.NotRun, request.Answered),
		Entry("not accepted: new key", nil, []int{1, 2}, request.NotAccepted, request.Answered),
		Entry("not accepted after an unknown outcome: same key", nil, []int{1, 1, 1}, request.Unknown, request.NotAccepted, request.Answered),
		Entry("not run after an unknown outcome: new key", nil, []int{1, 1, 2}, request.Unknown, request.NotRun, request.Answered),
		Entry("not run or not accepted at each attempt", caller.ErrNotRun, []int{1, 2}, request.NotRun, request.NotAccepted, request.NotRun),
		Entry("outcome unknown at each attempt", caller.ErrOutcomeUnknown, []int{1, 1}, request.Unknown),
		Entry("key older than its retention time", caller.ErrOutcomeUnknown, []int{1}, request.TooOld),
		Entry("response not kept", caller.ErrAnswerNotKept, []int{1}, request.AnswerNotKept),
		Entry("key used by another request", caller.ErrRefused, []int{1}, request.KeyReused),
	)
})
